#ifndef LIBRUNTIME_SETTINGS_SETTINGS_READER_H_
#define LIBRUNTIME_SETTINGS_SETTINGS_READER_H_

#include <boost/json/object.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "LibDecision/ids.h"
#include "LibRuntime/Settings/node_settings.h"

namespace auburnfold {

/// Whether a settings key may be absent.
enum class presence : std::uint8_t { kRequired, kOptional };

/// Reads the values of one JSON object and tracks which keys are known. Each
/// Read function leaves `value` unchanged if an optional key is absent, and
/// fails with `settings_error`.
class settings_reader {
 public:
  /// `path` is put in front of the keys in errors.
  settings_reader(std::string file,
                  std::string path,
                  const boost::json::object& object);

  leaf::result<void> ReadInteger(std::string_view key,
                                 presence requirement,
                                 std::uint64_t min_value,
                                 std::uint64_t max_value,
                                 std::uint64_t& value);
  /// Reads a port number, or the port of an address HOST:PORT.
  leaf::result<void> ReadPort(std::string_view key,
                              presence requirement,
                              std::uint16_t& value);
  leaf::result<void> ReadMilliseconds(std::string_view key,
                                      std::uint64_t max_value,
                                      std::chrono::milliseconds& value);
  /// Reads an address HOST:PORT, where HOST is an IP address.
  leaf::result<void> ReadAddress(std::string_view key,
                                 std::string& host,
                                 std::uint16_t& port);
  /// Reads a time in seconds, which may have a fraction.
  leaf::result<void> ReadSeconds(std::string_view key,
                                 double max_value,
                                 std::chrono::milliseconds& value);
  /// Reads an IP address.
  leaf::result<void> ReadHost(std::string_view key,
                              presence requirement,
                              std::string& value);
  /// Reads a string of 1 to 64 characters.
  leaf::result<void> ReadName(std::string_view key,
                              presence requirement,
                              std::string& value);
  leaf::result<void> ReadNodeId(std::string_view key, node_id& value);
  leaf::result<void> ReadChoice(std::string_view key,
                                const std::vector<std::string_view>& choices,
                                std::string& value);
  leaf::result<void> ReadAddresses(std::string_view key,
                                   std::vector<node_address>& value);
  /// Reads an object as JSON text.
  leaf::result<void> ReadObjectText(std::string_view key, std::string& value);

  /// Fails on the first key that no Read function was called for.
  leaf::result<void> RejectUnknownKeys() const;

 private:
  /// Returns null if an optional key is absent.
  leaf::result<const boost::json::value*> Find(std::string_view key,
                                               presence requirement);
  leaf::error_id Fail(std::string_view key, std::string reason) const;

  std::string file_;
  std::string path_;
  const boost::json::object& object_;
  std::set<std::string, std::less<>> known_keys_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_SETTINGS_SETTINGS_READER_H_
