#include "LibWire/message_json.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibWire/array_reader.h"
#include "LibWire/message_codec.h"

namespace auburnfold {

namespace {

using nlohmann::json;

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kMessageElements = 6;
constexpr std::size_t kAddressElements = 3;
constexpr std::size_t kRecordElements = 7;
constexpr std::size_t kRowElements = 6;
constexpr std::size_t kSettingsElements = 7;
constexpr std::size_t kPairElements = 2;

// Identifies the kind of a message on the wire. A number must never get another
// meaning, since nodes of other versions read it.
enum class content_kind : std::uint8_t {
  kHeartbeat = 0,
  kMemberUpdate = 1,
  kRowUpdate = 2,
  kBucketDigests = 3,
  kBucketRequest = 4,
};

json ToArray(const node_address& address) {
  return json::array({address.host, address.peer_port, address.control_port});
}

json ToArray(const member_record& record) {
  return json::array({record.node.value(), record.run.value(), record.version,
                      static_cast<std::uint8_t>(record.state),
                      ToArray(record.address), record.domain.value(),
                      record.service.value()});
}

json ToArray(const row_settings& settings) {
  return json::array(
      {settings.weight, settings.priority, settings.concurrency_limit,
       settings.retry_allowance,
       static_cast<std::uint64_t>(settings.longest_deadline.count()),
       static_cast<std::uint64_t>(settings.queue_limit.count()),
       settings.is_idempotent});
}

json ToArray(const table_row& row) {
  return json::array({row.service.value(), row.request_class.value(),
                      row.version.value(), row.change.value(), row.is_deleted,
                      ToArray(row.settings)});
}

template <class entry_type>
json ToArrayOfArrays(const std::vector<entry_type>& entries) {
  json array = json::array();
  for (const entry_type& entry : entries) {
    array.push_back(ToArray(entry));
  }
  return array;
}

json ContentToArray(const heartbeat& content) {
  return json::array({content.member_digest, content.table_digest});
}
json ContentToArray(const member_update& content) {
  return ToArrayOfArrays(content.records);
}
json ContentToArray(const row_update& content) {
  return ToArrayOfArrays(content.rows);
}
json ContentToArray(const bucket_digests& content) {
  return json::array({json(content.members), json(content.rows)});
}
json ContentToArray(const bucket_request& content) {
  return json::array({json(content.members), json(content.rows)});
}

content_kind KindOf(const heartbeat&) {
  return content_kind::kHeartbeat;
}
content_kind KindOf(const member_update&) {
  return content_kind::kMemberUpdate;
}
content_kind KindOf(const row_update&) {
  return content_kind::kRowUpdate;
}
content_kind KindOf(const bucket_digests&) {
  return content_kind::kBucketDigests;
}
content_kind KindOf(const bucket_request&) {
  return content_kind::kBucketRequest;
}

bool ReadArray(const json& array, node_address& address) {
  array_reader reader(array, kAddressElements);
  reader.Read(address.host);
  reader.Read(address.peer_port);
  reader.Read(address.control_port);
  return reader.is_valid();
}

bool ReadArray(const json& array, member_record& record) {
  array_reader reader(array, kRecordElements);
  std::uint8_t state = 0;
  reader.Read(record.node);
  reader.Read(record.run);
  reader.Read(record.version);
  reader.Read(state, static_cast<std::uint8_t>(member_state::kGone));
  record.state = static_cast<member_state>(state);
  if (!ReadArray(reader.Next(), record.address)) {
    reader.MarkInvalid();
  }
  reader.Read(record.domain);
  reader.Read(record.service);
  return reader.is_valid();
}

bool ReadArray(const json& array, row_settings& settings) {
  array_reader reader(array, kSettingsElements);
  reader.Read(settings.weight);
  reader.Read(settings.priority);
  reader.Read(settings.concurrency_limit);
  reader.Read(settings.retry_allowance);
  reader.Read(settings.longest_deadline);
  reader.Read(settings.queue_limit);
  reader.Read(settings.is_idempotent);
  return reader.is_valid();
}

bool ReadArray(const json& array, table_row& row) {
  array_reader reader(array, kRowElements);
  reader.Read(row.service);
  reader.Read(row.request_class);
  reader.Read(row.version);
  reader.Read(row.change);
  reader.Read(row.is_deleted);
  if (!ReadArray(reader.Next(), row.settings)) {
    reader.MarkInvalid();
  }
  return reader.is_valid();
}

template <class entry_type>
bool ReadArrayOfArrays(const json& array, std::vector<entry_type>& entries) {
  if (!array.is_array()) {
    return false;
  }
  entries.resize(array.size());
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (!ReadArray(array[i], entries[i])) {
      return false;
    }
  }
  return true;
}

template <class buckets_type>
bool ReadBucketPair(const json& array, buckets_type& content) {
  array_reader reader(array, kPairElements);
  reader.Read(content.members);
  reader.Read(content.rows);
  return reader.is_valid();
}

bool ReadArray(const json& array, heartbeat& content) {
  array_reader reader(array, kPairElements);
  reader.Read(content.member_digest);
  reader.Read(content.table_digest);
  return reader.is_valid();
}
bool ReadArray(const json& array, member_update& content) {
  return ReadArrayOfArrays(array, content.records);
}
bool ReadArray(const json& array, row_update& content) {
  return ReadArrayOfArrays(array, content.rows);
}
bool ReadArray(const json& array, bucket_digests& content) {
  return ReadBucketPair(array, content);
}
bool ReadArray(const json& array, bucket_request& content) {
  return ReadBucketPair(array, content);
}

template <class content_type>
boost::leaf::result<void> ReadContentAs(const json& array,
                                        peer_message& message) {
  if (!ReadArray(array, message.content.emplace<content_type>())) {
    return boost::leaf::new_error(decode_error::kSchemaMismatch);
  }
  return {};
}

boost::leaf::result<void> ReadContent(std::uint8_t kind,
                                      const json& array,
                                      peer_message& message) {
  switch (static_cast<content_kind>(kind)) {
    case content_kind::kHeartbeat:
      return ReadContentAs<heartbeat>(array, message);
    case content_kind::kMemberUpdate:
      return ReadContentAs<member_update>(array, message);
    case content_kind::kRowUpdate:
      return ReadContentAs<row_update>(array, message);
    case content_kind::kBucketDigests:
      return ReadContentAs<bucket_digests>(array, message);
    case content_kind::kBucketRequest:
      return ReadContentAs<bucket_request>(array, message);
  }
  return boost::leaf::new_error(decode_error::kUnknownMessageKind);
}

}  // namespace

json ToJson(const peer_message& message) {
  json array =
      json::array({kFormatVersion, message.from.value(),
                   message.from_run.value(), ToArray(message.from_address)});
  std::visit(
      [&array](const auto& content) {
        array.push_back(static_cast<std::uint8_t>(KindOf(content)));
        array.push_back(ContentToArray(content));
      },
      message.content);
  return array;
}

boost::leaf::result<peer_message> FromJson(const json& array) {
  if (array.is_array() && !array.empty() && array[0] != kFormatVersion) {
    return boost::leaf::new_error(decode_error::kUnknownVersion);
  }
  array_reader reader(array, kMessageElements);
  peer_message message;
  reader.Next();
  reader.Read(message.from);
  reader.Read(message.from_run);
  if (!ReadArray(reader.Next(), message.from_address)) {
    reader.MarkInvalid();
  }
  std::uint8_t kind = 0;
  reader.Read(kind);
  const json& content = reader.Next();
  if (!reader.is_valid()) {
    return boost::leaf::new_error(decode_error::kSchemaMismatch);
  }
  BOOST_LEAF_CHECK(ReadContent(kind, content, message));
  return message;
}

}  // namespace auburnfold
