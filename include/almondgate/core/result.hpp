#ifndef ALMONDGATE_CORE_RESULT_HPP
#define ALMONDGATE_CORE_RESULT_HPP

#include "almondgate/core/error.hpp"

#include <boost/outcome.hpp>

namespace almondgate::core {

/// A value or an Error.
template <class T> using Result = boost::outcome_v2::unchecked<T, Error>;

/// A Result without a value.
using Status = Result<void>;

/// Returns a successful Status.
inline Status ok() { return boost::outcome_v2::success(); }

} // namespace almondgate::core

#endif
