#ifndef LIBDECISION_ANSWER_FACTS_H_
#define LIBDECISION_ANSWER_FACTS_H_

#include <cstdint>

#include "LibDecision/instant.h"

namespace auburnfold {

/// What a node adds to each answer that it gives another node.
struct answer_facts {
  /// Admission level of the answering service and of all it calls for this
  /// class: a request whose rank is below the level is refused. 0 admits all.
  std::uint16_t level = 0;
  /// Retries granted with the request that were not spent.
  std::uint16_t allowance_left = 0;
  /// Requests running or queued at the answering endpoint.
  std::uint32_t in_flight = 0;
  /// Delay after which the answering node expects to admit again; zero if it
  /// admits now.
  duration retry_after{};
  /// A call that the endpoint made for the request failed, so its failure is
  /// not its own.
  bool has_failed_below = false;
  /// The caller may send the request once more, at the cost of the answering
  /// node's share.
  bool grants_retry = false;
  /// The endpoint started recently and takes a reduced share.
  bool is_cold = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ANSWER_FACTS_H_
