#ifndef ALMONDGATE_TASK_DESCRIPTOR_LEASE_HPP
#define ALMONDGATE_TASK_DESCRIPTOR_LEASE_HPP

#include "almondgate/task/descriptor_limits.hpp"

#include <memory>

namespace almondgate::task {

class DescriptorBudget;

/// One descriptor that a DescriptorBudget counts until the lease is released
/// or destroyed. An empty lease counts none.
class DescriptorLease {
public:
  DescriptorLease() = default;
  DescriptorLease(std::weak_ptr<DescriptorBudget> budget, DescriptorKind kind);
  ~DescriptorLease() { release(); }
  DescriptorLease(DescriptorLease &&other) noexcept;
  DescriptorLease &operator=(DescriptorLease &&other) noexcept;
  DescriptorLease(const DescriptorLease &) = delete;
  DescriptorLease &operator=(const DescriptorLease &) = delete;

  void release();

private:
  std::weak_ptr<DescriptorBudget> Budget;
  DescriptorKind Kind = DescriptorKind::Internal;
};

} // namespace almondgate::task

#endif
