#ifndef ALMONDGATE_SRC_CONTROL_SERVE_EACH_HPP
#define ALMONDGATE_SRC_CONTROL_SERVE_EACH_HPP

#include "almondgate/jobs/heartbeat_batch.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace almondgate::control {

/// Passes each heartbeat to `serve`, with a function that takes its status.
/// `done` receives the results, in the order of the heartbeats, once all are
/// there; the reply names no members.
template <class Serve, class Done>
void serveEach(const std::vector<jobs::EndpointHeartbeat> &heartbeats,
               const Serve &serve, const Done &done) {
  struct Collected {
    jobs::HeartbeatReply Reply;
    size_t Open = 0;
  };
  const auto collected = std::make_shared<Collected>();
  collected->Open = heartbeats.size();
  collected->Reply.Results.resize(heartbeats.size());
  if (heartbeats.empty())
    done(collected->Reply);
  for (size_t i = 0; i < heartbeats.size(); ++i)
    serve(heartbeats[i], [collected, i, done](const core::Status &status) {
      collected->Reply.Results[i] = {bool(status),
                                     status ? core::Error{} : status.error()};
      if (--collected->Open == 0)
        done(collected->Reply);
    });
}

} // namespace almondgate::control

#endif
