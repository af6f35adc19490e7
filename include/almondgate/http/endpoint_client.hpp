#ifndef ALMONDGATE_HTTP_ENDPOINT_CLIENT_HPP
#define ALMONDGATE_HTTP_ENDPOINT_CLIENT_HPP

#include "almondgate/core/result.hpp"
#include "almondgate/http/endpoint_call.hpp"
#include "almondgate/http/response.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace almondgate::task {
class DescriptorBudget;
class Loop;
} // namespace almondgate::task

namespace almondgate::http {

/// Settings of an EndpointClient.
struct EndpointClientOptions {
  /// Maximum size of a response body.
  size_t MaxResponseBytes = 16u << 20;
  /// Maximum number of idle connections kept per endpoint.
  size_t MaxIdle = 2;
  core::DurationMs IdleTimeout{5000};
  core::DurationMs ConnectTimeout{1000};

  bool operator==(const EndpointClientOptions &) const = default;
};

/// Sends requests to endpoints over HTTP/1.1. Sends each request once
/// and never retries. A request for which the budget of descriptors has no
/// connection waits in order of arrival, for at most its timeout.
class EndpointClient {
public:
  /// Receives a response that is known to be complete, or an error whose
  /// Outcome is NotRun only if no byte was sent.
  using OnResponse = std::function<void(core::Result<Response>)>;

  EndpointClient(task::Loop &loop, EndpointClientOptions options,
                 std::shared_ptr<task::DescriptorBudget> descriptors = nullptr);
  ~EndpointClient();
  EndpointClient(const EndpointClient &) = delete;
  EndpointClient &operator=(const EndpointClient &) = delete;

  /// Called right before the first byte is sent, which may be long after send()
  /// if the process was frozen while the connection was opened. False fails the
  /// call with Outcome NotRun.
  using MaySend = std::function<bool()>;

  /// Sends a request and returns its id for abort().
  uint64_t send(EndpointCall call, OnResponse done, MaySend may_send = {});

  /// Closes the idle connections to an address, for example because the
  /// endpoint may be down.
  void closeIdle(const core::Address &to);

  /// Closes the call's connection; its OnResponse is not called.
  void abort(uint64_t call);

private:
  struct State;
  std::unique_ptr<State> S;
};

} // namespace almondgate::http

#endif
