#include "almondgate/http/json_body.hpp"
#include "almondgate/http/request.hpp"
#include "almondgate/http/response.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace almondgate::http {

bool sameName(std::string_view a, std::string_view b) {
  const auto same = [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  };
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), same);
}

namespace {

bool listsName(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const size_t comma = list.find(',');
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && item.front() == ' ')
      item.remove_prefix(1);
    while (!item.empty() && item.back() == ' ')
      item.remove_suffix(1);
    if (sameName(item, name))
      return true;
    if (comma == std::string_view::npos)
      return false;
    list.remove_prefix(comma + 1);
  }
  return false;
}

constexpr std::array HopByHop = {
    "connection", "keep-alive",        "proxy-connection", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length"};

bool isTransient(core::ErrorCode code) {
  return code == core::ErrorCode::Overloaded ||
         code == core::ErrorCode::NoCapacity ||
         code == core::ErrorCode::Stale || code == core::ErrorCode::Unavailable;
}

} // namespace

std::string_view headerValue(const Headers &headers, std::string_view name) {
  const auto it =
      std::find_if(headers.begin(), headers.end(),
                   [&](const Header &h) { return sameName(h.Name, name); });
  return it == headers.end() ? std::string_view() : it->Value;
}

Headers withoutHopByHop(const Headers &headers) {
  const std::string_view named = headerValue(headers, "connection");
  Headers out;
  for (const auto &header : headers) {
    const bool hop =
        std::any_of(HopByHop.begin(), HopByHop.end(), [&](const char *name) {
          return sameName(header.Name, name);
        });
    if (!hop && !listsName(named, header.Name))
      out.push_back(header);
  }
  return out;
}

bool isIdempotentMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS" ||
         method == "PUT" || method == "DELETE" || method == "TRACE";
}

Response jsonResponse(int status, std::string body) {
  return {status, {{"content-type", "application/json"}}, std::move(body)};
}

int statusOf(const core::Error &error) {
  switch (error.Code) {
  case core::ErrorCode::InvalidArgument:
    return 400;
  case core::ErrorCode::Unauthenticated:
    return 401;
  case core::ErrorCode::Forbidden:
    return 403;
  case core::ErrorCode::NotFound:
    return 404;
  case core::ErrorCode::Conflict:
    return 409;
  case core::ErrorCode::TooLarge:
    return 413;
  case core::ErrorCode::NeverFits:
    return 422;
  case core::ErrorCode::Overloaded:
    return 429;
  case core::ErrorCode::Cancelled:
    return 499;
  case core::ErrorCode::EndpointFailed:
  case core::ErrorCode::Corrupt:
    return 502;
  case core::ErrorCode::DeadlineExceeded:
    return 504;
  case core::ErrorCode::NoCapacity:
  case core::ErrorCode::Stale:
  case core::ErrorCode::NotLeader:
  case core::ErrorCode::Unavailable:
  case core::ErrorCode::NoSpace:
  case core::ErrorCode::Io:
    return 503;
  }
  return 500;
}

Response problemResponse(const core::Error &error) {
  const int status = statusOf(error);
  const char *outcome = core::outcomeName(error.Outcome);
  const nlohmann::json body = {{"type", "about:blank"},
                               {"title", core::errorName(error.Code)},
                               {"status", status},
                               {"detail", error.Text},
                               {"code", core::errorName(error.Code)},
                               {"outcome", outcome}};
  Response out{status,
               {{"content-type", "application/problem+json"},
                {"almondgate-outcome", outcome}},
               encodeJson(body)};
  if (isTransient(error.Code))
    out.Headers.push_back({"retry-after", "1"});
  return out;
}

} // namespace almondgate::http
