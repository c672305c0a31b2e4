#ifndef LIBRUNTIME_NODE_SETTINGS_H_
#define LIBRUNTIME_NODE_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibDecision/ids.h"

namespace auburnfold {

namespace leaf = boost::leaf;

/// What a node is told at its start; docs/settings.md lists the keys.
struct node_settings {
  /// Made from `host` and `peer_port` if the file does not set it.
  node_id node;
  std::string host;
  domain_name domain;
  std::uint16_t call_port = 0;
  /// Where readiness is asked for, besides the administration port; 0: nowhere.
  std::uint16_t ready_port = 0;
  /// Where the endpoint reports, besides the call port; 0: nowhere.
  std::uint16_t report_port = 0;
  std::uint16_t peer_port = 0;
  std::uint16_t control_port = 0;
  std::uint16_t admin_port = 0;
  std::string endpoint_host = "127.0.0.1";
  /// Where the endpoint listens before it reports; 0: not known.
  std::uint16_t endpoint_port = 0;
  /// The service of the endpoint, as far as the settings say.
  service_name service;
  /// `own` or `platform`: how callers and the endpoint speak to the node.
  std::string dialect = "own";
  std::vector<node_address> seeds;
  std::string store_host;
  std::uint16_t store_port = 0;
  /// Longest time from a stop request to the end of the process.
  std::chrono::milliseconds stop_limit{30'000};
  /// Time without a new request after which a stopping node that has nothing
  /// left to do ends.
  std::chrono::milliseconds stop_linger{1'000};
  /// Values of a metric's label beyond which `other` is counted.
  std::size_t label_limit = 64;
  std::string log_level = "info";
  /// The settings of the administration API as JSON text; checked by it.
  std::string admin = "{}";
};

/// What is wrong with a settings file.
struct settings_error {
  std::string file;
  /// Empty if the file as a whole cannot be read.
  std::string key;
  std::string reason;
};

/// Reads a settings file. Fails with `settings_error`.
leaf::result<node_settings> LoadNodeSettings(const std::string& file);

/// Reads settings from `text`; `file` is for errors only. Fails with
/// `settings_error`.
leaf::result<node_settings> ParseNodeSettings(const std::string& file,
                                              std::string_view text);

}  // namespace auburnfold

#endif  // LIBRUNTIME_NODE_SETTINGS_H_
