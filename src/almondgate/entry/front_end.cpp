#include "almondgate/entry/front_end.hpp"

#include <charconv>
#include <cstring>

namespace almondgate::entry {

using core::Error;
using core::ErrorCode;
using core::Result;

namespace {

constexpr size_t MaxIdBytes = 200;
constexpr size_t MaxBodyBytes = 16u << 20;

Error badHeader(const char *name, std::string_view text) {
  return {ErrorCode::InvalidArgument, std::string("header ") + name + ": '" +
                                          std::string(text) + "' is invalid"};
}

Result<int64_t> parseNumber(std::string_view text) {
  int64_t n = 0;
  const char *end = text.data() + text.size();
  const auto [ptr, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || ptr != end || n < 0)
    return Error{ErrorCode::InvalidArgument, "not a number"};
  return n;
}

// "slots=1,millicpus=2000,memory-mb=4096,accelerators=0"
Result<core::Size> parseSize(std::string_view text) {
  const Error bad = badHeader("almondgate-size", text);
  core::Size out{1, 0, 0, 0};
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    const size_t equals = item.find('=');
    if (equals == std::string_view::npos)
      return bad;
    const auto n = parseNumber(item.substr(equals + 1));
    const std::string_view name = item.substr(0, equals);
    if (!n)
      return bad;
    if (name == "slots")
      out.Slots = n.value();
    else if (name == "millicpus")
      out.MilliCpus = n.value();
    else if (name == "memory-mb")
      out.MemoryMb = n.value();
    else if (name == "accelerators")
      out.Accelerators = n.value();
    else
      return bad;
  }
  if (out.Slots < 1)
    return bad;
  return out;
}

core::Status parseOptions(const http::Headers &headers, CallerRequest &out) {
  const auto work_class = http::headerValue(headers, "almondgate-class");
  if (work_class == "urgent")
    out.Admission.Class = model::WorkClass::Urgent;
  else if (work_class == "batch")
    out.Admission.Class = model::WorkClass::Batch;
  else if (!work_class.empty())
    return badHeader("almondgate-class", work_class);
  const auto size = http::headerValue(headers, "almondgate-size");
  if (!size.empty()) {
    const auto need = parseSize(size);
    if (!need)
      return need.error();
    out.Admission.Need = need.value();
  }
  const auto deadline = http::headerValue(headers, "almondgate-deadline-ms");
  if (!deadline.empty()) {
    const auto n = parseNumber(deadline);
    if (!n)
      return badHeader("almondgate-deadline-ms", deadline);
    out.Deadline = core::DurationMs{n.value()};
  }
  return core::ok();
}

// Headers that are meant for almondgate and not forwarded to the endpoint.
bool isAlmondgateHeader(const std::string &name) {
  return name == "authorization" || name.rfind("almondgate-", 0) == 0;
}

http::Request payloadOf(const http::Request &request, std::string target) {
  http::Request out;
  out.Method = request.Method;
  out.Target = std::move(target);
  out.Body = request.Body;
  for (const auto &header : http::withoutHopByHop(request.Headers))
    if (!isAlmondgateHeader(header.Name) && header.Name != "host")
      out.Headers.push_back(header);
  return out;
}

} // namespace

std::string bearerKey(const http::Headers &headers) {
  constexpr std::string_view Scheme = "Bearer ";
  const auto text = http::headerValue(headers, "authorization");
  if (text.substr(0, Scheme.size()) != Scheme)
    return {};
  return std::string(text.substr(Scheme.size()));
}

Result<CallerRequest> parseCallerRequest(const http::Request &request,
                                         const std::string &fallback_id) {
  if (request.Body.size() > MaxBodyBytes)
    return Error{ErrorCode::TooLarge, "the body is larger than 16 MiB"};
  CallerRequest out;
  const std::string rest = request.Target.substr(std::strlen(QueuePrefix));
  const size_t end = rest.find_first_of("/?");
  out.Admission.Queue = core::QueueId(rest.substr(0, end));
  std::string target = end == std::string::npos ? "" : rest.substr(end);
  if (target.empty() || target.front() != '/')
    target.insert(target.begin(), '/');
  const auto id = http::headerValue(request.Headers, "almondgate-request-id");
  if (id.size() > MaxIdBytes)
    return badHeader("almondgate-request-id", id.substr(0, 20));
  out.Id = core::RequestId(id.empty() ? fallback_id : std::string(id));
  out.Admission.Key = bearerKey(request.Headers);
  const auto key = http::headerValue(request.Headers, "idempotency-key");
  if (key.size() > MaxIdBytes)
    return badHeader("idempotency-key", key.substr(0, 20));
  out.IdempotencyKey = std::string(key);
  out.Idempotent = http::isIdempotentMethod(request.Method);
  if (auto good = parseOptions(request.Headers, out); !good)
    return good.error();
  out.Payload = payloadOf(request, std::move(target));
  return out;
}

} // namespace almondgate::entry
