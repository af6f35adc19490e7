#ifndef ALMONDGATE_APPS_PROCESS_LIMITS_HPP
#define ALMONDGATE_APPS_PROCESS_LIMITS_HPP

namespace almondgate::apps {

/// Raises the soft limit of descriptors to the hard limit.
void raiseDescriptorLimit();

/// Bounds the stacks of new threads. Their default size is the stack limit of
/// the process, which may exceed its address space.
void limitThreadStacks();

} // namespace almondgate::apps

#endif
