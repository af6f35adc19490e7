#ifndef ALMONDGATE_CORE_INVARIANT_HPP
#define ALMONDGATE_CORE_INVARIANT_HPP

#include <functional>

namespace almondgate::core {

/// Aborts the process with a message if `holds` is false. Only for conditions
/// that can't be false in a correct program; other failures are a Result.
void invariant(bool holds, const char *text);

/// Sets a handler to call before the abort, so that tests can see violations.
void setInvariantHandler(std::function<void(const char *)> handler);

} // namespace almondgate::core

#endif
