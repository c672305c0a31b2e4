#ifndef LIBDECISION_ANSWER_METADATA_H_
#define LIBDECISION_ANSWER_METADATA_H_

#include <cstdint>
#include <optional>

#include "LibDecision/Routes/route.h"
#include "LibDecision/endpoint_notice.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// Metadata that a node attaches to each answer that it sends to another node.
struct answer_metadata {
  /// The highest admission level among the answering service and the services
  /// it calls for this class. A request that ranks below the level is refused;
  /// 0 admits all.
  std::uint16_t level = 0;
  /// Retries that were granted with the request and are unspent.
  std::uint16_t allowance_left = 0;
  /// Number of requests that run or wait at the answering endpoint.
  std::uint32_t in_flight = 0;
  /// Delay after which the answering node expects to admit requests again; zero
  /// if it admits them now.
  duration retry_after{};
  /// Interval at which the receiver may send requests to the endpoint, so that
  /// all senders together keep its rate limit; zero if it need not wait.
  duration send_interval{};
  /// A child call that the endpoint made for the request failed, so a failure
  /// of the request is not counted against the endpoint.
  bool has_failed_child_call = false;
  /// The caller may retry the request once, at the expense of the answering
  /// node's retry budget.
  bool grants_retry = false;
  /// The endpoint started recently and gets a reduced share of the requests.
  bool is_cold = false;
  /// Version of the routes at the answering node, if it is newer than that of
  /// the receiver.
  std::optional<route_version> newer_routes;
  /// How long before the request arrived it was certain that no routes existed
  /// that are newer than those that the sender and this node both use; negative
  /// if it was certain later. Unset if it is not known, or if the sender uses
  /// others.
  std::optional<duration> routes_confirmed_age;
  /// Number of requests that the answering endpoint handles at once without
  /// becoming slower; 0 if it is not known.
  std::uint32_t capacity = 0;
  /// Checksum of the crashes that the answering node knows of, if it differs
  /// from that of the receiver; otherwise 0.
  std::uint64_t crash_checksum = 0;
  /// Unset if the endpoint names no limit and is not leaving.
  std::optional<endpoint_notice> notice;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ANSWER_METADATA_H_
