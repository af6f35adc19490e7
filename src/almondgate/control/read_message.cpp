#include "read_message.hpp"
#include "almondgate/encoding/codec.hpp"

namespace almondgate::control {

core::Result<consensus::Message> readMessage(const std::string &body) {
  auto message = encoding::decode<consensus::Message>(body);
  if (!message)
    return message;
  for (const auto &entry : message.value().Entries) {
    if (entry.Kind != consensus::EntryKind::Membership)
      continue;
    const auto members = encoding::decode<consensus::Membership>(entry.Data);
    if (!members)
      return core::Error{core::ErrorCode::Corrupt,
                         "membership of log entry " +
                             std::to_string(entry.Index) +
                             " cannot be decoded: " + members.error().Text};
  }
  return message;
}

} // namespace almondgate::control
