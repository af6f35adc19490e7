#ifndef ALMONDGATE_HTTP_CONNECTION_TABLE_HPP
#define ALMONDGATE_HTTP_CONNECTION_TABLE_HPP

#include "almondgate/core/time_ms.hpp"
#include "almondgate/http/server_budget.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace almondgate::http {

/// The functions by which a ConnectionTable ends connections.
struct ConnectionTableHooks {
  /// Closes a connection that is idle or whose request is incomplete. Calls
  /// closed() before it returns.
  std::function<void(uint64_t)> Close;
  /// Ends a connection whose answer is not being read; closed() follows later.
  std::function<void(uint64_t)> Abort;
  core::Clock Now = core::monotonicNow;
};

/// Counts what each connection of a server makes the process hold, and decides
/// which one ends once the server's budget or its number of connections is used
/// up: first those that hold most for a request that is incomplete, and those
/// that have not read their answer for a while.
class ConnectionTable {
public:
  /// Bytes that a connection without a request makes the process hold.
  static constexpr size_t BaseBytes = size_t{12} * 1024;

  ConnectionTable(std::string server, std::shared_ptr<ServerBudget> budget,
                  ConnectionTableHooks hooks);

  /// Adds a connection and returns its id; std::nullopt if it must be refused.
  std::optional<uint64_t> open();

  /// When the connection that has been idle longest became idle; std::nullopt
  /// if none has been idle for a while.
  std::optional<core::TimeMs> longestIdle() const;

  /// Closes the connection of longestIdle().
  void closeLongestIdle();

  /// Ends the connection whose request has been incomplete longest, or one
  /// whose answer is not being read. False if there is none of some age.
  bool endSlowest();

  /// Bytes of a request have arrived, and more are expected.
  void receive(uint64_t id);

  /// The sender has given up the request that receive() announced.
  void cancelReceive(uint64_t id);

  /// Reserves bytes for a connection's request; false if they must not be
  /// allocated.
  [[nodiscard]] bool reserve(uint64_t id, size_t n);
  void release(uint64_t id, size_t n);

  /// A whole request has arrived, of which `copied` further bytes are held
  /// until finish(). False if it must be refused.
  [[nodiscard]] bool begin(uint64_t id, size_t copied);

  /// Reserves bytes for the answer; false if they must not be allocated.
  [[nodiscard]] bool answer(uint64_t id, size_t n);

  /// The answer has been written, or the request has been given up. Returns
  /// what its begin() and answer() have reserved.
  void finish(uint64_t id, size_t copied, size_t answer);

  void closed(uint64_t id);

  /// Ends connections that take too long. Call at intervals while needsChecks()
  /// is true.
  void check();
  bool needsChecks() const { return Receiving > 0 || Shortage; }

private:
  enum class Phase { Idle, Receiving, Handling, Answering };

  struct Connection {
    size_t Held = 0;
    /// Bytes of the answers to its open requests.
    size_t Answer = 0;
    /// Requests of which finish() is not called yet; several with HTTP/2.
    size_t Open = 0;
    Phase At = Phase::Idle;
    /// When the phase began.
    core::TimeMs Since;
    bool Aborted = false;
  };

  /// A time during which connections are ended or refused.
  struct Short {
    core::TimeMs Last;
    uint64_t Ended = 0;
    uint64_t Refused = 0;
  };

  void enter(Connection &connection, Phase phase);
  static bool isWaiting(const Connection &connection);
  bool isUnread(const Connection &connection) const;
  bool fits(const Connection &connection, size_t n) const;
  bool makeRoom(uint64_t id, size_t n);
  std::optional<uint64_t> longestIn(Phase phase, core::DurationMs age) const;
  bool closeLongestIn(Phase phase, core::DurationMs age);
  bool endUnread();
  bool answerFits(size_t n, size_t overdraft) const;
  void abortUnread(size_t n);
  void abort(uint64_t id, Connection &connection);
  void releaseAnswer(Connection &connection, size_t n);
  Short &shortage(const char *of);
  bool refuse(const char *of);

  const std::string Server;
  const std::shared_ptr<ServerBudget> Budget;
  const ConnectionTableHooks Hooks;
  std::map<uint64_t, Connection> Connections;
  uint64_t NextId = 0;
  size_t Receiving = 0;
  /// Bytes of answers whose connections are about to close.
  size_t AbortedBytes = 0;
  std::optional<Short> Shortage;
};

} // namespace almondgate::http

#endif
