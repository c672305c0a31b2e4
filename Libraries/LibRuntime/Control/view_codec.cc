#include "LibRuntime/Control/view_codec.h"

#include "LibDecision/Quarantine/crash_codec.h"
#include "LibDecision/Registry/member_codec.h"
#include "LibDecision/text_words.h"

namespace auburnfold {

std::string EncodeView(const peer_view& view) {
  std::string text;
  for (const member_record& record : view.members) {
    text += MemberKey(record.node);
    text += '\t';
    text += EncodeMember(record);
    text += '\n';
  }
  for (const crash_record& record : view.crashes) {
    text += CrashKey(record.id);
    text += '\t';
    text += EncodeCrash(record);
    text += '\n';
  }
  text += '\n';
  text += view.routes;
  return text;
}

std::optional<peer_view> DecodeView(std::string_view text) {
  const std::size_t end = text.starts_with('\n') ? 0 : text.find("\n\n");
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  peer_view view;
  word_reader lines(text.substr(0, end));
  while (!lines.is_empty()) {
    word_reader line(lines.TakeUntil('\n'));
    const std::string_view key = line.TakeUntil('\t');
    const std::string_view value = line.TakeUntil('\n');
    if (auto record = DecodeMember(key, value)) {
      view.members.push_back(*std::move(record));
    } else if (auto crash = DecodeCrash(key, value)) {
      view.crashes.push_back(*std::move(crash));
    }
    // A later version may add kinds of records.
  }
  view.routes = std::string(text.substr(end + (end == 0 ? 1 : 2)));
  return view;
}

}  // namespace auburnfold
