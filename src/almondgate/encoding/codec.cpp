#include "almondgate/encoding/codec.hpp"

#include "json_types.hpp"

namespace almondgate::encoding {

namespace {

using nlohmann::json;

constexpr size_t MaxDepth = 64;

/// Builds a json value and gives up where it is nested too deeply: the library
/// reads CBOR by recursion.
class BoundedBuilder : public nlohmann::detail::json_sax_dom_parser<json> {
public:
  explicit BoundedBuilder(json &out) : json_sax_dom_parser(out, true) {}

  bool start_object(size_t n) { // NOLINT(readability-identifier-naming)
    return ++Depth <= MaxDepth && json_sax_dom_parser::start_object(n);
  }
  bool end_object() { // NOLINT(readability-identifier-naming)
    --Depth;
    return json_sax_dom_parser::end_object();
  }
  bool start_array(size_t n) { // NOLINT(readability-identifier-naming)
    return ++Depth <= MaxDepth && json_sax_dom_parser::start_array(n);
  }
  bool end_array() { // NOLINT(readability-identifier-naming)
    --Depth;
    return json_sax_dom_parser::end_array();
  }

private:
  size_t Depth = 0;
};

// Throws json::exception for what is no CBOR.
json parseCbor(std::string_view bytes) {
  json out;
  BoundedBuilder builder(out);
  if (!json::sax_parse(bytes, &builder, json::input_format_t::cbor))
    throw json::other_error::create(501, "nested too deeply", nullptr);
  return out;
}

// The first member of `given` that `known` does not have, or nothing.
std::string unknownMember(const json &given, const json &known,
                          const std::string &at) {
  if (!given.is_object() || !known.is_object())
    return {};
  for (const auto &[name, value] : given.items()) {
    const auto it = known.find(name);
    if (it == known.end())
      return at + name;
    std::string inner = unknownMember(value, *it, at + name + ".");
    if (!inner.empty())
      return inner;
  }
  return {};
}

} // namespace

template <class T> std::string encode(const T &value) {
  std::string out;
  json::to_cbor(json(value), out);
  return out;
}

template <class T> core::Result<T> decode(std::string_view bytes) {
  try {
    return parseCbor(bytes).template get<T>();
  } catch (const json::exception &e) {
    return core::Error{core::ErrorCode::Corrupt, e.what()};
  }
}

template <class T> std::string toJson(const T &value) {
  constexpr int Indent = 2;
  return json(value).dump(Indent, ' ', false, json::error_handler_t::replace);
}

template <class T> core::Result<T> fromJson(std::string_view text) {
  try {
    const json given = json::parse(text);
    T value = given.get<T>();
    const std::string unknown = unknownMember(given, json(value), "");
    if (!unknown.empty())
      return core::Error{core::ErrorCode::InvalidArgument,
                         "unknown member '" + unknown + "'"};
    return value;
  } catch (const json::exception &e) {
    return core::Error{core::ErrorCode::InvalidArgument, e.what()};
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
  template core::Result<T> fromJson<T>(std::string_view);

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
ALMONDGATE_ENCODABLE(jobs::EndpointGone)
ALMONDGATE_ENCODABLE(jobs::EndpointHeartbeat)
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
