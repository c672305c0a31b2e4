#include "LibDecision/Works/incoming_works.h"

#include <algorithm>

namespace auburnfold {

void incoming_works::Start(const node_started& self) {
  run_ = self.run;
  keys_.Start(self.node, self.run);
}

void incoming_works::OnArrived(step& now, const work_arrived& arrived) {
  work& open = works_[arrived.work];
  open.facts = arrived.facts;
  open.arrived = now.now();
  open.deadline = now.now() + arrived.facts.time_left;
  allowance_.Open(arrived.work, arrived.facts.allowance);
  if (is_stopping_) {
    return Refuse(now, arrived.work, error_kind::kNodeStopping,
                  run_state::kNotRun);
  }
  if (!endpoint_ || endpoint_->service != arrived.facts.service) {
    return Refuse(now, arrived.work, error_kind::kNoEndpoint,
                  run_state::kNotRun);
  }
  if (endpoint_->state == endpoint_state::kLeaving) {
    return Refuse(now, arrived.work, error_kind::kEndpointLeaving,
                  run_state::kNotRun);
  }
  if (arrived.facts.time_left <= duration::zero()) {
    return Refuse(now, arrived.work, error_kind::kDeadlineExpired,
                  run_state::kNotRun);
  }
  if (arrived.facts.purpose == request_purpose::kIssueKey) {
    return IssueKey(now, arrived.work);
  }
  if (arrived.facts.key) {
    const key_decision decision =
        keys_.OnWork(now, *arrived.facts.key, arrived.work);
    switch (decision.verdict) {
      case key_verdict::kRun:
        break;
      case key_verdict::kReplay: {
        const answer_facts facts =
            DescribeAnswer(now, open, allowance_.Close(arrived.work));
        now.Emit(replay_answer{arrived.work, *arrived.facts.key, facts});
        return Close(now, arrived.work);
      }
      case key_verdict::kRefuse:
        open.facts.key.reset();
        return Refuse(now, arrived.work, decision.refusal, run_state::kNotRun);
    }
  }
  const row_settings& row =
      rows_.SettingsFor(open.facts.service, open.facts.request_class);
  Apply(now, admission_.Offer(now, arrived.work, open.facts, row));
}

void incoming_works::OnCancelled(step& now, work_id id) {
  const auto found = works_.find(id);
  if (found == works_.end()) {
    return;
  }
  const work& open = found->second;
  if (open.is_running) {
    now.Emit(cancel_work{id});
  }
  if (open.facts.key) {
    if (open.is_running) {
      keys_.OnFinished(now, *open.facts.key, id,
                       {error_kind::kCallerGone, run_state::kUnknown});
    } else {
      keys_.OnNotRun(now, *open.facts.key);
    }
  }
  const std::vector<admission_decision> decisions =
      admission_.OnCancelled(now, id);
  Close(now, id);
  Apply(now, decisions);
}

void incoming_works::OnSent(step&, work_id id) {
  const auto found = works_.find(id);
  if (found != works_.end()) {
    found->second.is_sent = true;
  }
}

void incoming_works::OnFinished(step& now, const work_finished& finished) {
  const auto found = works_.find(finished.work);
  if (found == works_.end()) {
    now.Count(counter::kLateAnswers);
    return;
  }
  work& open = found->second;
  const std::vector<admission_decision> decisions =
      admission_.OnFinished(now, finished.work, finished.result);
  if (finished.result.is_whole()) {
    if (open.facts.key) {
      keys_.OnFinished(now, *open.facts.key, finished.work, finished.result);
    }
    const answer_facts facts =
        DescribeAnswer(now, open, allowance_.Close(finished.work));
    now.Emit(relay_work_answer{finished.work, facts});
    Close(now, finished.work);
  } else {
    const run_state ran =
        open.is_sent ? finished.result.ran : run_state::kNotRun;
    Refuse(now, finished.work, *finished.result.error, ran);
  }
  Apply(now, decisions);
}

void incoming_works::OnEndpointReported(step& now,
                                        const endpoint_reported& report) {
  admission_.OnEndpointReported(now, report);
  endpoint_ = report;
}

void incoming_works::OnStopRequested(step&) {
  is_stopping_ = true;
}

void incoming_works::OnTimer(step& now, timer_subscription due) {
  if (due.owner == timer_owner::kAdmission) {
    return Apply(now, admission_.OnTimer(now, due.key));
  }
  if (due.owner == timer_owner::kOnce) {
    return keys_.OnTimer(now, due.key);
  }
}

void incoming_works::OnChildStarted(step& now, work_id id) {
  const auto found = works_.find(id);
  if (found == works_.end()) {
    return;
  }
  if (found->second.open_children++ == 0) {
    Apply(now, admission_.OnWaiting(now, id));
  }
}

void incoming_works::OnChildFinished(step&, work_id id) {
  const auto found = works_.find(id);
  if (found == works_.end()) {
    return;
  }
  work& open = found->second;
  if (--open.open_children == 0) {
    admission_.OnResumed(id);
  }
}

const request_facts* incoming_works::FactsOf(work_id id) const {
  const auto found = works_.find(id);
  return found == works_.end() ? nullptr : &found->second.facts;
}

void incoming_works::Apply(step& now,
                           const std::vector<admission_decision>& decisions) {
  for (const admission_decision& decision : decisions) {
    if (decision.refusal) {
      Refuse(now, decision.work, *decision.refusal, run_state::kNotRun);
    } else {
      Run(now, decision.work);
    }
  }
}

void incoming_works::Run(step& now, work_id id) {
  work& open = works_.at(id);
  open.is_running = true;
  now.Emit(run_work{id, open.deadline - now.now()});
}

void incoming_works::Refuse(step& now,
                            work_id id,
                            error_kind kind,
                            run_state ran) {
  const work& open = works_.at(id);
  if (open.facts.key) {
    if (ran == run_state::kNotRun) {
      keys_.OnNotRun(now, *open.facts.key);
    } else {
      keys_.OnFinished(now, *open.facts.key, id, {kind, ran});
    }
  }
  const answer_facts facts = DescribeAnswer(now, open, allowance_.Close(id));
  now.Emit(refuse_work{id, kind, ran, facts});
  Close(now, id);
}

void incoming_works::IssueKey(step& now, work_id id) {
  const std::optional<idempotency_key> key = keys_.Issue(now);
  if (!key) {
    return Refuse(now, id, error_kind::kKeyMemoryFull, run_state::kNotRun);
  }
  const answer_facts facts =
      DescribeAnswer(now, works_.at(id), allowance_.Close(id));
  now.Emit(answer_with_key{id, *key, facts});
  Close(now, id);
}

// The level covers what the class calls deeper down, so that callers refuse
// early what would be refused there.
answer_facts incoming_works::DescribeAnswer(const step& now,
                                            const work& open,
                                            std::uint16_t allowance) const {
  answer_facts facts;
  admission_.Describe(now.now(), open.facts, facts);
  facts.level = std::max(
      facts.level, pressure_.DeepLevelFor(now.now(), open.facts.request_class));
  facts.allowance_left = allowance;
  return facts;
}

void incoming_works::Close(step&, work_id id) {
  allowance_.Close(id);
  works_.erase(id);
}

}  // namespace auburnfold
