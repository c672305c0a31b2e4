#include "auburnfold-load/load_call.h"

#include <utility>

#include "auburnfold-load/retry_policy.h"

namespace auburnfold {

namespace http = boost::beast::http;

namespace {

// Answers are awaited a little past the deadline, so that late ones show.
constexpr std::chrono::milliseconds kLateGrace{250};

}  // namespace

load_call::load_call(load_call_context& context,
                     const load_class& called,
                     pools& servers,
                     std::string request_id,
                     clock::time_point intended)
    : context_(context),
      class_(called),
      servers_(servers),
      request_id_(std::move(request_id)),
      deadline_(intended + called.timeout),
      timer_(context.io) {
  tenant_ = class_.tenants[context_.random() % class_.tenants.size()];
  body_ = request_id_;
  body_.resize(class_.body_bytes, '.');
}

void load_call::Start(on_end done) {
  done_ = std::move(done);
  if (class_.uses_key) {
    AskForKey();
  } else {
    Send();
  }
}

http_pool& load_call::ChooseServer() {
  return *servers_[context_.random() % servers_.size()];
}

std::chrono::milliseconds load_call::Left() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ -
                                                               clock::now());
}

http_request load_call::MakeRequest(std::chrono::milliseconds left) const {
  http_request request(http::verb::post, "/" + class_.request_class, kHttp11);
  request.set(http::field::host, "auburnfold");
  request.set("Auburnfold-Service", class_.service);
  request.set("Auburnfold-Class", class_.request_class);
  request.set("Auburnfold-Tenant", tenant_);
  request.set("Auburnfold-Timeout-Ms", std::to_string(left.count()));
  request.set("Auburnfold-Request-Id", request_id_);
  return request;
}

void load_call::AskForKey() {
  http_request request = MakeRequest(class_.timeout);
  request.target("/auburnfold/v1/keys");
  request.prepare_payload();
  ChooseServer().Send(
      std::move(request), class_.timeout,
      [self = shared_from_this()](const exchange_result& result) {
        self->OnKey(result);
      });
}

void load_call::OnKey(const exchange_result& result) {
  if (result.end == exchange_end::kAnswered &&
      result.response.result() == http::status::created) {
    key_ = std::string(result.response["Idempotency-Key"]);
    return Send();
  }
  // Without a key nothing was sent that could run.
  ++sends_;
  send_verdict verdict = JudgeSend(result, request_id_, body_);
  verdict.outcome = call_outcome::kRefused;
  SendLaterOrEnd(verdict);
}

void load_call::Send() {
  const std::chrono::milliseconds left = Left();
  if (left.count() < 1) {
    return End(sends_ == 0 ? call_outcome::kUnsent : call_outcome::kRefused);
  }
  ++sends_;
  http_request request = MakeRequest(left);
  if (!key_.empty()) {
    request.set("Idempotency-Key", key_);
  }
  if (sends_ > 1 && context_.plan.retries.is_marked) {
    request.set("Auburnfold-Attempt", std::to_string(sends_));
  }
  request.body() = body_;
  request.prepare_payload();
  ChooseServer().Send(
      std::move(request), left + kLateGrace,
      [self = shared_from_this()](const exchange_result& result) {
        self->OnAnswer(result);
      });
}

void load_call::OnAnswer(const exchange_result& result) {
  send_verdict verdict = JudgeSend(result, request_id_, body_);
  if (verdict.outcome == call_outcome::kUseful && clock::now() > deadline_) {
    verdict.outcome = call_outcome::kLate;
  }
  SendLaterOrEnd(verdict);
}

void load_call::SendLaterOrEnd(const send_verdict& verdict) {
  may_have_run_ = may_have_run_ || verdict.outcome == call_outcome::kUnknown ||
                  verdict.outcome == call_outcome::kFailed;
  std::uniform_real_distribution<double> unit(0.0, 1.0);
  const std::optional<std::chrono::milliseconds> wait = WaitBeforeResend(
      context_.plan.retries, class_, verdict, sends_, unit(context_.random));
  if (!wait || *wait >= Left()) {
    return End(verdict.outcome);
  }
  timer_.expires_after(*wait);
  timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (error) {
          return;
        }
        if (self->class_.uses_key && self->key_.empty()) {
          self->AskForKey();
        } else {
          self->Send();
        }
      });
}

// A refusal speaks of the last send only.
void load_call::End(call_outcome outcome) {
  if (outcome == call_outcome::kRefused && may_have_run_) {
    outcome = call_outcome::kUnknown;
  }
  done_(outcome, sends_);
}

}  // namespace auburnfold
