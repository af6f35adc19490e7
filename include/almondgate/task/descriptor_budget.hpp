#ifndef ALMONDGATE_TASK_DESCRIPTOR_BUDGET_HPP
#define ALMONDGATE_TASK_DESCRIPTOR_BUDGET_HPP

#include "almondgate/task/descriptor_lease.hpp"
#include "almondgate/task/descriptor_limits.hpp"
#include "almondgate/task/descriptor_user.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace almondgate::task {

class Loop;

/// Counts the descriptors of a process by kind and decides whether a further
/// connection may be opened or accepted. At a limit it first closes idle
/// connections, longest idle first. Owned by the main task; to be used on the
/// thread of its loop.
class DescriptorBudget : public std::enable_shared_from_this<DescriptorBudget> {
public:
  /// Runs a function once, in a later iteration of the event loop.
  using Defer = std::function<void(std::function<void()>)>;

  DescriptorBudget(DescriptorLimits limits, Defer defer);

  /// Returns the budget of this process, for connections on `loop`.
  static std::shared_ptr<DescriptorBudget> ofProcess(Loop &loop);

  /// Adds a server or a client and returns its id for removeUser().
  uint64_t addUser(DescriptorKind kind, DescriptorUser user);
  void removeUser(uint64_t id);

  /// Returns the lease of a further connection, after closing idle ones if that
  /// is necessary; std::nullopt if none may be opened now. Each user's OnRoom
  /// is called after that, once a lease is released or a connection has become
  /// idle.
  std::optional<DescriptorLease> take(DescriptorKind kind);

  /// Returns a lease of the reserve, which never waits.
  DescriptorLease takeReserved();

  /// A connection has become idle and may be closed for another one.
  void onIdle() { notifyLater(); }

  /// A listener has stopped accepting for a while.
  void countPause() { ++Pauses; }

  const DescriptorLimits &limits() const { return Limits; }
  size_t used(DescriptorKind kind) const { return Used[size_t(kind)]; }

  /// The most outbound connections that the inbound ones in use leave.
  size_t outboundRoom() const;

  /// The counts in the Prometheus text format.
  std::string metricsText() const;

private:
  friend class DescriptorLease;
  static constexpr size_t Kinds = size_t(DescriptorKind::Internal) + 1;

  struct User {
    DescriptorKind Kind;
    DescriptorUser Hooks;
  };

  DescriptorLease add(DescriptorKind kind);
  void release(DescriptorKind kind);
  size_t limitOf(DescriptorKind kind) const;
  bool hasRoom(DescriptorKind kind) const;
  bool closeLongestIdle(DescriptorKind kind);
  void notifyLater();
  void notify();

  const DescriptorLimits Limits;
  const Defer RunLater;
  std::map<uint64_t, User> Users;
  uint64_t NextUser = 0;
  /// The user whose OnRoom is called first the next time.
  uint64_t NextNotified = 0;
  std::array<size_t, Kinds> Used{};
  std::array<uint64_t, Kinds> Refused{};
  uint64_t ClosedIdle = 0;
  uint64_t Pauses = 0;
  /// take() has refused a connection since OnRoom was last called.
  bool Short = false;
  bool Notifying = false;
};

} // namespace almondgate::task

#endif
