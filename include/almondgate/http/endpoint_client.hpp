#ifndef ALMONDGATE_HTTP_ENDPOINT_CLIENT_HPP
#define ALMONDGATE_HTTP_ENDPOINT_CLIENT_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/http/endpoint_call.hpp"
#include "almondgate/http/response.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace almondgate::task {
class Loop;
} // namespace almondgate::task

namespace almondgate::http {

/// Settings of an EndpointClient.
struct EndpointClientOptions {
  /// A longer answer is refused.
  size_t MaxResponseBytes = 16u << 20;
  /// Idle connections kept to one endpoint.
  size_t MaxIdle = 2;
  core::DurationMs IdleTimeout{5000};
  core::DurationMs ConnectTimeout{1000};

  bool operator==(const EndpointClientOptions &) const = default;
};

/// Sends requests to endpoints over HTTP/1.1. Sends each once and never again
/// by itself.
class EndpointClient {
public:
  /// Gets a response whose end is proved, or an error whose Outcome is NotRun
  /// only where no byte was sent.
  using OnResponse = std::function<void(core::Result<Response>)>;

  EndpointClient(task::Loop &loop, EndpointClientOptions options);
  ~EndpointClient();
  EndpointClient(const EndpointClient &) = delete;
  EndpointClient &operator=(const EndpointClient &) = delete;

  /// Asked right before the first byte leaves, which may be long after send()
  /// where the process stood still as the connection was opened. False fails
  /// the call as not run.
  using MaySend = std::function<bool()>;

  /// Gives a number for abort().
  uint64_t send(EndpointCall call, OnResponse done, MaySend may_send = {});

  /// Closes the idle connections to an address, which may be dead.
  void closeIdle(const core::Address &to);

  /// Closes the call's connection; its OnResponse is not called.
  void abort(uint64_t call);

private:
  struct State;
  std::unique_ptr<State> S;
};

} // namespace almondgate::http

#endif
