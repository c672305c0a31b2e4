#include "auburnfold-load/load_run.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace auburnfold {

namespace {

constexpr int kMostSendsAtOnce = 32;

load_call::pools MakePools(boost::asio::io_context& io,
                           const std::vector<http_address>& servers) {
  load_call::pools pools;
  for (const http_address& server : servers) {
    pools.push_back(std::make_unique<http_pool>(io, server));
  }
  return pools;
}

std::vector<double> SharesOf(const load_plan& plan) {
  std::vector<double> shares;
  for (const load_class& each : plan.classes) {
    shares.push_back(each.share);
  }
  return shares;
}

// Ids of two runs never meet, so that an endpoint's record tells them apart.
std::string MakeIdPrefix() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
                 .count()) +
         "-";
}

}  // namespace

load_run::load_run(boost::asio::io_context& io,
                   const load_plan& plan,
                   load_report& report)
    : plan_(plan),
      report_(report),
      context_{io, plan, std::mt19937_64(plan.seed)},
      nodes_(MakePools(io, plan.nodes)),
      direct_(MakePools(io, plan.direct)),
      timer_(io),
      id_prefix_(MakeIdPrefix()) {
  const std::vector<double> shares = SharesOf(plan);
  class_choice_ =
      std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
}

void load_run::Start() {
  start_ = clock::now();
  phase_end_ = start_;
  BeginPhase();
  SendDue();
}

void load_run::EndEarly() {
  is_ended_early_ = true;
  phase_ = plan_.phases.size();
  timer_.cancel();
  StopIfDone();
}

void load_run::BeginPhase() {
  const load_phase& phase = plan_.phases[phase_];
  next_ = phase_end_;
  phase_end_ += phase.length;
  for (std::uint32_t i = 0; i < phase.callers; ++i) {
    CallInTurn(phase_);
  }
  Advance();
}

void load_run::Advance() {
  const load_phase& phase = plan_.phases[phase_];
  if (phase.callers > 0 || phase.rate <= 0) {
    next_ = phase_end_;
    return;
  }
  std::exponential_distribution<double> gap(phase.rate);
  next_ += std::chrono::duration_cast<clock::duration>(
      std::chrono::duration<double>(gap(context_.random)));
}

void load_run::SendDue() {
  if (is_ended_early_) {
    return;
  }
  int sent = 0;
  while (std::min(next_, phase_end_) <= clock::now()) {
    // Answers are read between the sends, also when the tool is behind.
    if (++sent > kMostSendsAtOnce) {
      return boost::asio::post(context_.io, [this] { SendDue(); });
    }
    if (next_ < phase_end_) {
      Call(phase_, next_, [] {});
      Advance();
      continue;
    }
    if (++phase_ == plan_.phases.size()) {
      return StopIfDone();
    }
    BeginPhase();
  }
  timer_.expires_at(std::min(next_, phase_end_));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      SendDue();
    }
  });
}

// Idle connections are watched for ever, so the context does not run out of
// work by itself.
void load_run::StopIfDone() {
  if (phase_ == plan_.phases.size() && open_ == 0) {
    context_.io.stop();
  }
}

void load_run::CallInTurn(std::size_t phase) {
  Call(phase, clock::now(), [this, phase] {
    boost::asio::post(context_.io, [this, phase] {
      if (phase_ == phase) {
        CallInTurn(phase);
      }
    });
  });
}

void load_run::Call(std::size_t phase,
                    clock::time_point intended,
                    std::function<void()> then) {
  const std::size_t chosen = class_choice_(context_.random);
  const auto call = std::make_shared<load_call>(
      context_, plan_.classes[chosen], ServersOf(plan_.phases[phase].path),
      id_prefix_ + std::to_string(next_id_++), intended);
  report_.OnSendDelay(std::chrono::duration_cast<std::chrono::microseconds>(
      clock::now() - intended));
  ++open_;
  call->Start([this, chosen, phase, intended, then = std::move(then)](
                  call_outcome outcome, std::uint32_t sends) {
    const auto since_start = [this](clock::time_point when) {
      return std::chrono::duration_cast<std::chrono::microseconds>(when -
                                                                   start_);
    };
    report_.OnFinished({chosen, phase, outcome, since_start(intended),
                        since_start(clock::now()), sends});
    --open_;
    then();
    StopIfDone();
  });
}

load_call::pools& load_run::ServersOf(load_path path) {
  switch (path) {
    case load_path::kNode:
      return nodes_;
    case load_path::kDirect:
      return direct_;
  }
  return nodes_;
}

}  // namespace auburnfold
