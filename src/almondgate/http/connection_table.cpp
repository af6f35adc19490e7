#include "almondgate/http/connection_table.hpp"
#include "almondgate/observe/log.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace almondgate::http {

namespace {

constexpr core::DurationMs MaxReceiveTime{30000};
constexpr core::DurationMs MaxAnswerTime{10000};
// An answer of this age is not being read, rather than just on its way.
constexpr core::DurationMs UnreadAfter{500};
constexpr core::DurationMs ShortageEndsAfter{2000};
// The first bytes of a new connection, or the next request after an answer, may
// be on their way.
constexpr core::DurationMs MinWait{100};
// What larger requests and answers leave to small ones.
constexpr size_t SmallReservePart = 8;
constexpr size_t SmallRequestBytes = size_t{32} * 1024;
constexpr size_t SmallAnswerBytes = size_t{16} * 1024;
// Aborted connections release their answers only in the next iteration.
constexpr size_t OverdraftPart = 4;

size_t withoutReserve(size_t limit) { return limit - limit / SmallReservePart; }

} // namespace

ConnectionTable::ConnectionTable(std::string server,
                                 std::shared_ptr<ServerBudget> budget,
                                 ConnectionTableHooks hooks)
    : Server(std::move(server)), Budget(std::move(budget)),
      Hooks(std::move(hooks)) {}

std::optional<uint64_t> ConnectionTable::open() {
  if (Connections.size() >= Budget->MaxConnections &&
      !closeLongestIn(Phase::Idle, {}) &&
      !closeLongestIn(Phase::Receiving, {}) && !endUnread()) {
    refuse("connections");
    return std::nullopt;
  }
  const uint64_t id = NextId++;
  Connections[id].Since = Hooks.Now();
  if (reserve(id, BaseBytes))
    return id;
  Connections.erase(id);
  return std::nullopt;
}

void ConnectionTable::enter(Connection &connection, Phase phase) {
  Receiving -= connection.At == Phase::Receiving;
  Receiving += phase == Phase::Receiving;
  connection.At = phase;
  connection.Since = Hooks.Now();
}

void ConnectionTable::receive(uint64_t id) {
  auto &connection = Connections.at(id);
  if (connection.At == Phase::Idle)
    enter(connection, Phase::Receiving);
}

void ConnectionTable::cancelReceive(uint64_t id) {
  auto &connection = Connections.at(id);
  if (connection.At == Phase::Receiving)
    enter(connection, Phase::Idle);
}

bool ConnectionTable::isWaiting(const Connection &connection) {
  return connection.At == Phase::Idle || connection.At == Phase::Receiving;
}

bool ConnectionTable::isUnread(const Connection &connection) const {
  return connection.At == Phase::Answering && !connection.Aborted &&
         Hooks.Now() - connection.Since >= UnreadAfter;
}

bool ConnectionTable::fits(const Connection &connection, size_t n) const {
  const bool small = connection.Held + n <= SmallRequestBytes;
  const size_t limit = Budget->Requests.limit();
  return Budget->Requests.used() + n <= (small ? limit : withoutReserve(limit));
}

bool ConnectionTable::reserve(uint64_t id, size_t n) {
  auto &connection = Connections.at(id);
  if (!fits(connection, n) && !makeRoom(id, n)) {
    Budget->Requests.countRefusal();
    return refuse("memory for requests");
  }
  Budget->Requests.add(n);
  connection.Held += n;
  return true;
}

// Never closes a connection in favour of one that holds more. Closes more of
// the large ones than is needed, so that it need not run for each reservation.
bool ConnectionTable::makeRoom(uint64_t id, size_t n) {
  std::vector<std::pair<size_t, uint64_t>> candidates;
  for (const auto &[other, connection] : Connections)
    if (isWaiting(connection))
      candidates.emplace_back(connection.Held, other);
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const auto &a, const auto &b) { return a.first > b.first; });
  const auto &connection = Connections.at(id);
  const size_t spare = Budget->Requests.limit() / SmallReservePart;
  for (const auto &[held, other] : candidates) {
    const size_t wanted = held > SmallRequestBytes ? n + spare : n;
    if (fits(connection, wanted) || other == id || held < connection.Held + n)
      break;
    ++shortage("memory for requests").Ended;
    Hooks.Close(other);
  }
  return fits(connection, n);
}

std::optional<uint64_t> ConnectionTable::longestIn(Phase phase,
                                                   core::DurationMs age) const {
  const auto now = Hooks.Now();
  std::optional<uint64_t> longest;
  for (const auto &[id, connection] : Connections)
    if (connection.At == phase && now - connection.Since >= age &&
        (!longest || connection.Since < Connections.at(*longest).Since))
      longest = id;
  return longest;
}

bool ConnectionTable::closeLongestIn(Phase phase, core::DurationMs age) {
  const auto id = longestIn(phase, age);
  if (!id)
    return false;
  ++shortage("connections").Ended;
  Hooks.Close(*id);
  return true;
}

bool ConnectionTable::endUnread() {
  const auto it =
      std::find_if(Connections.begin(), Connections.end(),
                   [&](const auto &row) { return isUnread(row.second); });
  if (it == Connections.end())
    return false;
  ++shortage("connections").Ended;
  abort(it->first, it->second);
  return true;
}

std::optional<core::TimeMs> ConnectionTable::longestIdle() const {
  const auto id = longestIn(Phase::Idle, MinWait);
  return id ? std::optional(Connections.at(*id).Since) : std::nullopt;
}

void ConnectionTable::closeLongestIdle() {
  closeLongestIn(Phase::Idle, MinWait);
}

bool ConnectionTable::endSlowest() {
  return closeLongestIn(Phase::Receiving, MinWait) || endUnread();
}

void ConnectionTable::release(uint64_t id, size_t n) {
  const auto it = Connections.find(id);
  if (it == Connections.end())
    return;
  const size_t released = std::min(n, it->second.Held);
  it->second.Held -= released;
  Budget->Requests.release(released);
}

bool ConnectionTable::begin(uint64_t id, size_t copied) {
  auto &connection = Connections.at(id);
  ++connection.Open;
  enter(connection, Phase::Handling);
  return reserve(id, copied);
}

bool ConnectionTable::answerFits(size_t n, size_t overdraft) const {
  const size_t limit = Budget->Responses.limit();
  const bool small = n <= SmallAnswerBytes;
  return Budget->Responses.used() + n <=
         (small ? limit : withoutReserve(limit)) + overdraft;
}

void ConnectionTable::abort(uint64_t id, Connection &connection) {
  connection.Aborted = true;
  AbortedBytes += connection.Answer;
  Hooks.Abort(id);
}

void ConnectionTable::abortUnread(size_t n) {
  std::vector<std::pair<size_t, uint64_t>> unread;
  for (const auto &[id, connection] : Connections)
    if (isUnread(connection))
      unread.emplace_back(connection.Answer, id);
  std::stable_sort(
      unread.begin(), unread.end(),
      [](const auto &a, const auto &b) { return a.first > b.first; });
  for (const auto &[bytes, id] : unread) {
    if (answerFits(n, AbortedBytes))
      return;
    ++shortage("memory for answers").Ended;
    abort(id, Connections.at(id));
  }
}

bool ConnectionTable::answer(uint64_t id, size_t n) {
  auto &connection = Connections.at(id);
  enter(connection, Phase::Answering);
  if (!answerFits(n, AbortedBytes))
    abortUnread(n);
  const size_t overdraft =
      std::min(AbortedBytes, Budget->Responses.limit() / OverdraftPart);
  if (!answerFits(n, overdraft)) {
    Budget->Responses.countRefusal();
    return refuse("memory for answers");
  }
  Budget->Responses.add(n);
  connection.Answer += n;
  return true;
}

void ConnectionTable::releaseAnswer(Connection &connection, size_t n) {
  if (connection.Aborted)
    AbortedBytes -= n;
  connection.Answer -= n;
  Budget->Responses.release(n);
}

void ConnectionTable::finish(uint64_t id, size_t copied, size_t answer) {
  const auto it = Connections.find(id);
  if (it == Connections.end())
    return;
  auto &connection = it->second;
  release(id, copied);
  releaseAnswer(connection, answer);
  if (--connection.Open > 0)
    return;
  connection.Aborted = false;
  enter(connection, Phase::Idle);
}

void ConnectionTable::closed(uint64_t id) {
  const auto it = Connections.find(id);
  if (it == Connections.end())
    return;
  auto &connection = it->second;
  releaseAnswer(connection, connection.Answer);
  enter(connection, Phase::Idle);
  Budget->Requests.release(connection.Held);
  Connections.erase(it);
}

void ConnectionTable::check() {
  const auto now = Hooks.Now();
  std::vector<uint64_t> late;
  for (auto &[id, connection] : Connections) {
    const auto age = now - connection.Since;
    if (connection.At == Phase::Receiving && age > MaxReceiveTime)
      late.push_back(id);
    if (connection.At == Phase::Answering && !connection.Aborted &&
        age > MaxAnswerTime)
      abort(id, connection);
  }
  for (const uint64_t id : late)
    Hooks.Close(id);
  if (!Shortage || now - Shortage->Last < ShortageEndsAfter)
    return;
  observe::logInfo("http", Server + ": the shortage is over; " +
                               std::to_string(Shortage->Ended) +
                               " connections closed, " +
                               std::to_string(Shortage->Refused) + " refusals");
  Shortage.reset();
}

ConnectionTable::Short &ConnectionTable::shortage(const char *of) {
  if (!Shortage) {
    observe::logWarn(
        "http",
        Server + ": no " + of + " left; closing those that hold most (" +
            std::to_string(Connections.size()) + " connections, " +
            std::to_string(Budget->Requests.used()) + " of " +
            std::to_string(Budget->Requests.limit()) + " bytes of requests, " +
            std::to_string(Budget->Responses.used()) + " of " +
            std::to_string(Budget->Responses.limit()) + " bytes of answers)");
    Shortage = Short{};
  }
  Shortage->Last = Hooks.Now();
  return *Shortage;
}

bool ConnectionTable::refuse(const char *of) {
  ++shortage(of).Refused;
  return false;
}

} // namespace almondgate::http
