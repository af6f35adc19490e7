#include "almondgate/ctl/client.hpp"
#include "almondgate/http/endpoint_client.hpp"
#include "almondgate/task/loop.hpp"

#include <optional>

namespace almondgate::ctl {

namespace {

constexpr core::DurationMs CallTimeout{45000};
constexpr int Rounds = 3;

} // namespace

Client::Client(std::vector<core::Address> entries, std::string key)
    : Entries(std::move(entries)), Key(std::move(key)) {}

core::Result<http::Response> Client::callOne(const core::Address &entry,
                                             const std::string &method,
                                             const std::string &path,
                                             const std::string &body) {
  task::Loop loop;
  http::EndpointClient client(loop, {});
  http::EndpointCall call;
  call.To = entry;
  call.Request = {method,
                  path.starts_with("/") ? path : "/admin/v1/" + path,
                  {{"authorization", "Bearer " + Key}},
                  body};
  call.Timeout = CallTimeout;
  std::optional<core::Result<http::Response>> out;
  client.send(call, [&](const core::Result<http::Response> &answer) {
    out = answer;
    loop.stop();
  });
  if (!out)
    loop.run();
  return *out;
}

core::Result<http::Response> Client::call(const std::string &method,
                                          const std::string &path,
                                          const std::string &body) {
  core::Result<http::Response> last = core::Error{
      core::ErrorCode::Unavailable, "no entry address is configured"};
  for (int round = 0; round < Rounds; ++round) {
    for (const auto &entry : Entries) {
      last = callOne(entry, method, path, body);
      if (last && last.value().Status != 503)
        return last;
    }
  }
  return last;
}

} // namespace almondgate::ctl
