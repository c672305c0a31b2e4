#include "LibRuntime/Settings/settings_reader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <charconv>
#include <limits>
#include <utility>

#include "LibRuntime/Requests/hexadecimal.h"

namespace auburnfold {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxNameBytes = 64;

std::string IntegerRangeError(std::uint64_t min_value,
                              std::uint64_t max_value) {
  return "must be an integer from " + std::to_string(min_value) + " to " +
         std::to_string(max_value);
}

}  // namespace

settings_reader::settings_reader(std::string file,
                                 std::string path,
                                 const json::object& object)
    : file_(std::move(file)), path_(std::move(path)), object_(object) {}

leaf::result<void> settings_reader::ReadInteger(std::string_view key,
                                                presence requirement,
                                                std::uint64_t min_value,
                                                std::uint64_t max_value,
                                                std::uint64_t& value) {
  BOOST_LEAF_AUTO(found, Find(key, requirement));
  if (found == nullptr) {
    return {};
  }
  boost::system::error_code error;
  const auto number = found->to_number<std::uint64_t>(error);
  if (error || number < min_value || number > max_value) {
    return Fail(key, IntegerRangeError(min_value, max_value));
  }
  value = number;
  return {};
}

leaf::result<void> settings_reader::ReadAddress(std::string_view key,
                                                std::string& host,
                                                std::uint16_t& port) {
  BOOST_LEAF_AUTO(found, Find(key, presence::kOptional));
  if (found == nullptr) {
    return {};
  }
  const json::string* string_value = found->if_string();
  const std::string text =
      string_value == nullptr ? "" : std::string(*string_value);
  const std::size_t colon = text.rfind(':');
  boost::system::error_code error;
  const std::string host_text = text.substr(0, colon);
  boost::asio::ip::make_address(host_text, error);
  std::uint16_t number = 0;
  const char* const last = text.data() + text.size();
  const char* const first =
      colon == std::string::npos ? last : text.data() + colon + 1;
  const auto [parse_end, parse_error] = std::from_chars(first, last, number);
  const bool is_port =
      parse_error == std::errc() && parse_end == last && first != last;
  if (error || !is_port) {
    return Fail(key, "must be HOST:PORT with an IP address as HOST");
  }
  host = host_text;
  port = number;
  return {};
}

leaf::result<void> settings_reader::ReadSeconds(
    std::string_view key,
    double max_value,
    std::chrono::milliseconds& value) {
  BOOST_LEAF_AUTO(found, Find(key, presence::kOptional));
  if (found == nullptr) {
    return {};
  }
  boost::system::error_code error;
  const auto seconds = found->to_number<double>(error);
  if (error || !(seconds > 0) || seconds > max_value) {
    return Fail(key, "must be a time in seconds, at most " +
                         std::to_string(static_cast<int>(max_value)));
  }
  value = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(seconds));
  return {};
}

leaf::result<void> settings_reader::ReadPort(std::string_view key,
                                             presence requirement,
                                             std::uint16_t& value) {
  const auto found_text = object_.find(key);
  if (found_text != object_.end() && found_text->value().is_string()) {
    std::string host;
    return ReadAddress(key, host, value);
  }
  std::uint64_t number = value;
  BOOST_LEAF_CHECK(ReadInteger(
      key, requirement, 0, std::numeric_limits<std::uint16_t>::max(), number));
  value = static_cast<std::uint16_t>(number);
  return {};
}

leaf::result<void> settings_reader::ReadMilliseconds(
    std::string_view key,
    std::uint64_t max_value,
    std::chrono::milliseconds& value) {
  auto number = static_cast<std::uint64_t>(value.count());
  BOOST_LEAF_CHECK(ReadInteger(key, presence::kOptional, 0, max_value, number));
  value = std::chrono::milliseconds(number);
  return {};
}

leaf::result<void> settings_reader::ReadHost(std::string_view key,
                                             presence requirement,
                                             std::string& value) {
  BOOST_LEAF_AUTO(found, Find(key, requirement));
  if (found == nullptr) {
    return {};
  }
  const json::string* text = found->if_string();
  boost::system::error_code error;
  if (text != nullptr) {
    boost::asio::ip::make_address(std::string_view(*text), error);
  }
  if (text == nullptr || error) {
    return Fail(key, "must be an IP address");
  }
  value = std::string_view(*text);
  return {};
}

leaf::result<void> settings_reader::ReadName(std::string_view key,
                                             presence requirement,
                                             std::string& value) {
  BOOST_LEAF_AUTO(found, Find(key, requirement));
  if (found == nullptr) {
    return {};
  }
  const json::string* text = found->if_string();
  if (text == nullptr || text->empty() || text->size() > kMaxNameBytes) {
    return Fail(key, "must be a string of 1 to 64 characters");
  }
  value = std::string_view(*text);
  return {};
}

leaf::result<void> settings_reader::ReadNodeId(std::string_view key,
                                               node_id& value) {
  BOOST_LEAF_AUTO(found, Find(key, presence::kOptional));
  if (found == nullptr) {
    return {};
  }
  const json::string* text = found->if_string();
  const std::optional<std::uint64_t> number =
      text == nullptr ? std::nullopt
                      : ParseHexadecimal(std::string_view(*text));
  if (!number || *number == 0) {
    return Fail(key, "must be 1 to 16 hexadecimal digits, not all zero");
  }
  value = node_id(*number);
  return {};
}

leaf::result<void> settings_reader::ReadChoice(
    std::string_view key,
    const std::vector<std::string_view>& choices,
    std::string& value) {
  BOOST_LEAF_AUTO(found, Find(key, presence::kOptional));
  if (found == nullptr) {
    return {};
  }
  const json::string* text = found->if_string();
  const bool is_known =
      text != nullptr && std::find(choices.begin(), choices.end(),
                                   std::string_view(*text)) != choices.end();
  if (!is_known) {
    std::string reason = "must be one of";
    for (const std::string_view choice : choices) {
      reason += ' ';
      reason += choice;
    }
    return Fail(key, reason);
  }
  value = std::string_view(*text);
  return {};
}

leaf::result<void> settings_reader::ReadAddresses(
    std::string_view key,
    std::vector<node_address>& value) {
  BOOST_LEAF_AUTO(found, Find(key, presence::kOptional));
  if (found == nullptr) {
    return {};
  }
  const json::array* list = found->if_array();
  if (list == nullptr) {
    return Fail(key, "must be a list of addresses");
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string entry_path =
        std::string(key) + "[" + std::to_string(i) + "]";
    const json::object* entry = (*list)[i].if_object();
    if (entry == nullptr) {
      return Fail(entry_path, "must have host, peer_port and control_port");
    }
    settings_reader reader(file_, path_ + entry_path + ".", *entry);
    node_address address;
    BOOST_LEAF_CHECK(
        reader.ReadHost("host", presence::kRequired, address.host));
    BOOST_LEAF_CHECK(
        reader.ReadPort("peer_port", presence::kRequired, address.peer_port));
    BOOST_LEAF_CHECK(reader.ReadPort("control_port", presence::kRequired,
                                     address.control_port));
    BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
    value.push_back(std::move(address));
  }
  return {};
}

leaf::result<void> settings_reader::ReadObjectText(std::string_view key,
                                                   std::string& value) {
  BOOST_LEAF_AUTO(found, Find(key, presence::kOptional));
  if (found == nullptr) {
    return {};
  }
  if (!found->is_object()) {
    return Fail(key, "must be an object");
  }
  value = json::serialize(*found);
  return {};
}

leaf::result<void> settings_reader::RejectUnknownKeys() const {
  for (const json::key_value_pair& pair : object_) {
    if (!known_keys_.contains(std::string_view(pair.key()))) {
      return Fail(pair.key(), "is not a known key");
    }
  }
  return {};
}

leaf::result<const json::value*> settings_reader::Find(std::string_view key,
                                                       presence requirement) {
  known_keys_.emplace(key);
  const json::value* found = object_.if_contains(key);
  if (found == nullptr && requirement == presence::kRequired) {
    return Fail(key, "is missing");
  }
  return found;
}

leaf::error_id settings_reader::Fail(std::string_view key,
                                     std::string reason) const {
  return leaf::new_error(
      settings_error{file_, path_ + std::string(key), std::move(reason)});
}

}  // namespace auburnfold
