#include "almondgate/protocol/rpc_server.hpp"
#include "almondgate/task/descriptor_budget.hpp"
#include "almondgate/task/loop.hpp"
#include "almondgate/task/tcp_listener.hpp"
#include "almondgate/task/timer.hpp"

#include "server_connection.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace almondgate::protocol {

namespace {

constexpr core::DurationMs CheckInterval{500};
// More than a listener's queue holds, so that one burst of strangers does not
// close a peer's connection before its first bytes are read.
constexpr size_t MaxUnauthenticated = 600;

} // namespace

struct RpcServer::State {
  /// The lease is one of an inbound connection until the peer has shown the
  /// secret, and one of the reserve from then on.
  struct Accepted {
    std::shared_ptr<ServerConnection> Connection;
    task::DescriptorLease Lease;
  };

  task::Loop &Loop;
  const RpcOptions Options;
  const RpcServerHooks Hooks;
  std::map<uint64_t, Accepted> Connections;
  uint64_t NextConnection = 0;
  std::unique_ptr<task::TcpListener> Listener;

  const std::shared_ptr<PeerBudget> Budget;
  task::Timer Checks;

  void accept(uv_stream_s *listener) {
    const uint64_t id = NextConnection++;
    const auto connection =
        std::make_shared<ServerConnection>(Loop, Options, Hooks, Budget);
    Connections.emplace(id, Accepted{connection, takeLease()});
    if (!connection->start(
            listener, [this, id] { drop(id); },
            [this, id] { onAuthenticated(id); }))
      drop(id);
    else
      dropOldestUnauthenticated();
  }

  static bool isStranger(const std::pair<const uint64_t, Accepted> &row) {
    return !row.second.Connection->authenticated();
  }

  // A peer's connection never waits. Where none is left for inbound ones, the
  // oldest of a stranger ends for it.
  task::DescriptorLease takeLease() {
    if (!Options.Descriptors)
      return {};
    auto lease = Options.Descriptors->take(task::DescriptorKind::Inbound);
    const auto oldest =
        std::find_if(Connections.begin(), Connections.end(), isStranger);
    if (!lease && oldest != Connections.end()) {
      drop(oldest->first);
      lease = Options.Descriptors->take(task::DescriptorKind::Inbound);
    }
    return lease ? std::move(*lease) : Options.Descriptors->takeReserved();
  }

  void onAuthenticated(uint64_t id) {
    const auto it = Connections.find(id);
    if (it != Connections.end() && Options.Descriptors)
      it->second.Lease = Options.Descriptors->takeReserved();
  }

  void dropOldestUnauthenticated() {
    const auto n =
        std::count_if(Connections.begin(), Connections.end(), isStranger);
    if (size_t(n) > MaxUnauthenticated)
      drop(std::find_if(Connections.begin(), Connections.end(), isStranger)
               ->first);
  }

  void checkConnections() {
    const auto now = core::monotonicNow();
    std::vector<uint64_t> overdue;
    for (const auto &[id, accepted] : Connections)
      if (accepted.Connection->isOverdue(now))
        overdue.push_back(id);
    for (const uint64_t id : overdue)
      drop(id);
  }

  // The connection is destroyed in a later loop iteration, because one of its
  // own callbacks calls this.
  void drop(uint64_t id) {
    const auto it = Connections.find(id);
    if (it == Connections.end())
      return;
    Loop.defer([held = std::move(it->second.Connection)] {});
    Connections.erase(it);
  }
};

RpcServer::RpcServer(task::Loop &loop, const RpcOptions &options,
                     RpcServerHooks hooks)
    : S(new State{loop,
                  options,
                  std::move(hooks),
                  {},
                  0,
                  nullptr,
                  std::make_shared<PeerBudget>(options.MaxHeldBytes),
                  task::Timer(loop)}) {
  S->Checks.every(CheckInterval,
                  [state = S.get()] { state->checkConnections(); });
  S->Listener = std::make_unique<task::TcpListener>(
      loop, [state = S.get()](uv_stream_s *l) { state->accept(l); });
}

RpcServer::~RpcServer() = default;

core::Status RpcServer::listen(const core::Address &address) {
  return S->Listener->listen(address);
}

core::BudgetReading RpcServer::budget() const {
  return S->Budget->read("peer-replies");
}

} // namespace almondgate::protocol
