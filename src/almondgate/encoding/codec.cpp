#include "almondgate/encoding/codec.hpp"
#include "almondgate/encoding/cbor.hpp"
#include "almondgate/encoding/json_text.hpp"

#include "json_types.hpp"

namespace almondgate::encoding {

namespace {

using nlohmann::json;

// Returns the path of the first member of `given` that `known` does not have;
// empty if there is none. `prefix` is the path of `given` itself.
std::string unknownMember(const json &given, const json &known,
                          const std::string &prefix) {
  if (!given.is_object() || !known.is_object())
    return {};
  for (const auto &[name, value] : given.items()) {
    const auto it = known.find(name);
    if (it == known.end())
      return prefix + name;
    std::string inner = unknownMember(value, *it, prefix + name + ".");
    if (!inner.empty())
      return inner;
  }
  return {};
}

} // namespace

template <class T> std::string encode(const T &value) { return toCbor(value); }

template <class T> core::Result<T> decode(std::string_view bytes) {
  return fromCbor<T>(bytes);
}

template <class T> std::string toJson(const T &value) {
  constexpr int Indent = 2;
  return json(value).dump(Indent, ' ', false, json::error_handler_t::replace);
}

template <class T>
core::Result<T> fromJson(std::string_view text, const JsonBounds &bounds) {
  try {
    const json given = parseJson(text, bounds);
    T value = given.get<T>();
    const std::string unknown = unknownMember(given, json(value), "");
    if (!unknown.empty())
      return core::Error{core::ErrorCode::InvalidArgument,
                         "unknown member '" + unknown + "'"};
    return value;
  } catch (const json::exception &e) {
    return core::Error{core::ErrorCode::InvalidArgument, errorText(e)};
  }
}

std::string encodeError(const core::Error &error) { return encode(error); }

core::Error decodeError(std::string_view bytes) {
  try {
    return parseCbor(bytes).get<core::Error>();
  } catch (const json::exception &e) {
    return {core::ErrorCode::Corrupt, e.what(), core::RunOutcome::Unknown};
  }
}

#define ALMONDGATE_ENCODABLE(T)                                                \
  template std::string encode<T>(const T &);                                   \
  template core::Result<T> decode<T>(std::string_view);                        \
  template std::string toJson<T>(const T &);                                   \
  template core::Result<T> fromJson<T>(std::string_view, const JsonBounds &);

ALMONDGATE_ENCODABLE(model::Announcement)
ALMONDGATE_ENCODABLE(model::CancelRequest)
ALMONDGATE_ENCODABLE(model::Grant)
ALMONDGATE_ENCODABLE(model::GrantRequest)
ALMONDGATE_ENCODABLE(model::Inventory)
ALMONDGATE_ENCODABLE(model::InventoryRequest)
ALMONDGATE_ENCODABLE(model::Release)
ALMONDGATE_ENCODABLE(model::WatchReply)
ALMONDGATE_ENCODABLE(model::WatchRequest)
ALMONDGATE_ENCODABLE(model::RecordList)
ALMONDGATE_ENCODABLE(jobs::ConfigAnswer)
ALMONDGATE_ENCODABLE(jobs::EndpointGone)
ALMONDGATE_ENCODABLE(jobs::EndpointHeartbeat)
ALMONDGATE_ENCODABLE(jobs::EvacuationChange)
ALMONDGATE_ENCODABLE(jobs::EvacuationList)
ALMONDGATE_ENCODABLE(jobs::ExplainRequest)
ALMONDGATE_ENCODABLE(jobs::Explanation)
ALMONDGATE_ENCODABLE(jobs::HeartbeatBatch)
ALMONDGATE_ENCODABLE(jobs::HeartbeatReply)
ALMONDGATE_ENCODABLE(jobs::FleetConfig)
ALMONDGATE_ENCODABLE(jobs::JobCall)
ALMONDGATE_ENCODABLE(jobs::JobReply)
ALMONDGATE_ENCODABLE(jobs::JobSpec)
ALMONDGATE_ENCODABLE(jobs::WaveRecord)
ALMONDGATE_ENCODABLE(bool)
ALMONDGATE_ENCODABLE(int64_t)
ALMONDGATE_ENCODABLE(consensus::Member)
ALMONDGATE_ENCODABLE(state::Change)
ALMONDGATE_ENCODABLE(state::ChangeResult)
ALMONDGATE_ENCODABLE(state::State)
ALMONDGATE_ENCODABLE(std::vector<state::AuditEntry>)
ALMONDGATE_ENCODABLE(std::vector<std::string>)
ALMONDGATE_ENCODABLE(consensus::DurableBatch)
ALMONDGATE_ENCODABLE(consensus::MemberReplacement)
ALMONDGATE_ENCODABLE(consensus::Membership)
ALMONDGATE_ENCODABLE(consensus::Message)
ALMONDGATE_ENCODABLE(consensus::Snapshot)

} // namespace almondgate::encoding
