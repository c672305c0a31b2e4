#include "LibWire/message_json.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibWire/field_reader.h"
#include "LibWire/message_codec.h"

namespace auburnfold {

namespace {

using nlohmann::json;

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kMessagePlaces = 6;
constexpr std::size_t kAddressPlaces = 3;
constexpr std::size_t kRecordPlaces = 7;
constexpr std::size_t kRowPlaces = 6;
constexpr std::size_t kSettingsPlaces = 7;
constexpr std::size_t kPairPlaces = 2;

// The numbers of the kinds on the wire; never given another meaning.
enum class content_kind : std::uint8_t {
  kHeartbeat = 0,
  kMemberUpdate = 1,
  kRowUpdate = 2,
  kBucketDigests = 3,
  kBucketRequest = 4,
};

json List(const node_address& address) {
  return json::array({address.host, address.peer_port, address.control_port});
}

json List(const member_record& record) {
  return json::array({record.node.value(), record.run.value(), record.version,
                      static_cast<std::uint8_t>(record.state),
                      List(record.address), record.domain.value(),
                      record.service.value()});
}

json List(const row_settings& settings) {
  return json::array(
      {settings.weight, settings.priority, settings.concurrency_limit,
       settings.retry_allowance,
       static_cast<std::uint64_t>(settings.longest_deadline.count()),
       static_cast<std::uint64_t>(settings.queue_limit.count()),
       settings.is_idempotent});
}

json List(const table_row& row) {
  return json::array({row.service.value(), row.request_class.value(),
                      row.version.value(), row.change.value(), row.is_deleted,
                      List(row.settings)});
}

template <class entry>
json ListAll(const std::vector<entry>& entries) {
  json list = json::array();
  for (const entry& one : entries) {
    list.push_back(List(one));
  }
  return list;
}

json Describe(const heartbeat& content) {
  return json::array({content.member_digest, content.table_digest});
}
json Describe(const member_update& content) {
  return ListAll(content.records);
}
json Describe(const row_update& content) {
  return ListAll(content.rows);
}
json Describe(const bucket_digests& content) {
  return json::array({json(content.members), json(content.rows)});
}
json Describe(const bucket_request& content) {
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

bool Take(const json& list, node_address& address) {
  field_reader reader(list, kAddressPlaces);
  reader.Read(address.host);
  reader.Read(address.peer_port);
  reader.Read(address.control_port);
  return reader.is_complete();
}

bool Take(const json& list, member_record& record) {
  field_reader reader(list, kRecordPlaces);
  std::uint8_t state = 0;
  reader.Read(record.node);
  reader.Read(record.run);
  reader.Read(record.version);
  reader.Read(state, static_cast<std::uint8_t>(member_state::kGone));
  record.state = static_cast<member_state>(state);
  if (!Take(reader.Next(), record.address)) {
    reader.Reject();
  }
  reader.Read(record.domain);
  reader.Read(record.service);
  return reader.is_complete();
}

bool Take(const json& list, row_settings& settings) {
  field_reader reader(list, kSettingsPlaces);
  reader.Read(settings.weight);
  reader.Read(settings.priority);
  reader.Read(settings.concurrency_limit);
  reader.Read(settings.retry_allowance);
  reader.Read(settings.longest_deadline);
  reader.Read(settings.queue_limit);
  reader.Read(settings.is_idempotent);
  return reader.is_complete();
}

bool Take(const json& list, table_row& row) {
  field_reader reader(list, kRowPlaces);
  reader.Read(row.service);
  reader.Read(row.request_class);
  reader.Read(row.version);
  reader.Read(row.change);
  reader.Read(row.is_deleted);
  if (!Take(reader.Next(), row.settings)) {
    reader.Reject();
  }
  return reader.is_complete();
}

template <class entry>
bool TakeAll(const json& list, std::vector<entry>& entries) {
  if (!list.is_array()) {
    return false;
  }
  entries.resize(list.size());
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (!Take(list[i], entries[i])) {
      return false;
    }
  }
  return true;
}

template <class buckets>
bool TakePair(const json& list, buckets& content) {
  field_reader reader(list, kPairPlaces);
  reader.Read(content.members);
  reader.Read(content.rows);
  return reader.is_complete();
}

bool Take(const json& list, heartbeat& content) {
  field_reader reader(list, kPairPlaces);
  reader.Read(content.member_digest);
  reader.Read(content.table_digest);
  return reader.is_complete();
}
bool Take(const json& list, member_update& content) {
  return TakeAll(list, content.records);
}
bool Take(const json& list, row_update& content) {
  return TakeAll(list, content.rows);
}
bool Take(const json& list, bucket_digests& content) {
  return TakePair(list, content);
}
bool Take(const json& list, bucket_request& content) {
  return TakePair(list, content);
}

template <class kind>
boost::leaf::result<void> ReadAs(const json& list, peer_message& message) {
  if (!Take(list, message.content.emplace<kind>())) {
    return boost::leaf::new_error(wire_error::kWrongShape);
  }
  return {};
}

boost::leaf::result<void> ReadContent(std::uint8_t kind,
                                      const json& list,
                                      peer_message& message) {
  switch (static_cast<content_kind>(kind)) {
    case content_kind::kHeartbeat:
      return ReadAs<heartbeat>(list, message);
    case content_kind::kMemberUpdate:
      return ReadAs<member_update>(list, message);
    case content_kind::kRowUpdate:
      return ReadAs<row_update>(list, message);
    case content_kind::kBucketDigests:
      return ReadAs<bucket_digests>(list, message);
    case content_kind::kBucketRequest:
      return ReadAs<bucket_request>(list, message);
  }
  return boost::leaf::new_error(wire_error::kUnknownContent);
}

}  // namespace

json ToJson(const peer_message& message) {
  json list =
      json::array({kFormatVersion, message.from.value(),
                   message.from_run.value(), List(message.from_address)});
  std::visit(
      [&list](const auto& content) {
        list.push_back(static_cast<std::uint8_t>(KindOf(content)));
        list.push_back(Describe(content));
      },
      message.content);
  return list;
}

boost::leaf::result<peer_message> FromJson(const json& list) {
  if (list.is_array() && !list.empty() && list[0] != kFormatVersion) {
    return boost::leaf::new_error(wire_error::kUnknownVersion);
  }
  field_reader reader(list, kMessagePlaces);
  peer_message message;
  reader.Next();
  reader.Read(message.from);
  reader.Read(message.from_run);
  if (!Take(reader.Next(), message.from_address)) {
    reader.Reject();
  }
  std::uint8_t kind = 0;
  reader.Read(kind);
  const json& content = reader.Next();
  if (!reader.is_complete()) {
    return boost::leaf::new_error(wire_error::kWrongShape);
  }
  BOOST_LEAF_CHECK(ReadContent(kind, content, message));
  return message;
}

}  // namespace auburnfold
