#include "almondgate/dispatch/endpoint_pools.hpp"

#include <doctest/doctest.h>

using namespace almondgate;
using namespace almondgate::dispatch;

namespace {

const core::PoolId Pool("p");
constexpr core::TimeMs Now{1000};

/// Two endpoints of 8 cores in one pool, both read and usable.
struct TwoEndpoints {
  EndpointPools Pools{[](const EndpointView &at) { return at.isServing(); },
                      [](const EndpointView &at) { return at.isServing(); }};
  EndpointView A = endpoint("a");
  EndpointView B = endpoint("b");

  TwoEndpoints() {
    Pools.add(B);
    Pools.add(A);
  }

  static EndpointView endpoint(const std::string &id) {
    EndpointView out;
    out.Facts.Id = jobs::EndpointId(id);
    out.Facts.Pool = Pool;
    out.Facts.Capacity.MilliCpus = 8000;
    out.InventoryRead = true;
    return out;
  }
};

} // namespace

// Placement must neither use an endpoint whose last call failed nor count on
// its capacity.
TEST_CASE("a suspected endpoint leaves the lists of its pool") {
  TwoEndpoints two;
  CHECK(two.Pools.usable(Pool, Now) ==
        EndpointPools::Endpoints{&two.A, &two.B});
  CHECK(two.Pools.servingMilliCpus(Pool) == 16000);
  two.A.Suspect = true;
  two.Pools.update(two.A);
  CHECK(two.Pools.usable(Pool, Now) == EndpointPools::Endpoints{&two.B});
  CHECK(two.Pools.servingMilliCpus(Pool) == 8000);
  CHECK(two.Pools.suspects().contains(two.A.Facts.Id));
  CHECK(two.Pools.check(Now).empty());
}

// The list must be rebuilt when the time comes, although nothing changes then.
TEST_CASE("an endpoint that backs off is usable again after its time") {
  TwoEndpoints two;
  two.A.BackOffUntil = Now + core::DurationMs{300};
  two.Pools.update(two.A);
  CHECK(two.Pools.usable(Pool, Now).size() == 1);
  CHECK(two.Pools.usable(Pool, Now + core::DurationMs{299}).size() == 1);
  CHECK(two.Pools.usable(Pool, Now + core::DurationMs{300}).size() == 2);
}

// Ties between endpoints are decided by their order, which must not depend on
// how much is free.
TEST_CASE("endpoints with enough free processor time come by id") {
  TwoEndpoints two;
  two.A.Used.MilliCpus = 3000;
  two.Pools.update(two.A);
  CHECK(two.Pools.usableWithFree(Pool, 5000, Now) ==
        EndpointPools::Endpoints{&two.A, &two.B});
  CHECK(two.Pools.usableWithFree(Pool, 5001, Now) ==
        EndpointPools::Endpoints{&two.B});
  CHECK(two.Pools.largestFree(Pool, Now) == 8000);
}

// The property test of the virtual fleet relies on check() to find updates that
// were left out.
TEST_CASE("a change that was not reported is found") {
  TwoEndpoints two;
  two.A.Used.MilliCpus = 1000;
  CHECK(!two.Pools.check(Now).empty());
  two.Pools.update(two.A);
  CHECK(two.Pools.check(Now).empty());
  two.Pools.remove(two.A);
  two.Pools.remove(two.B);
  CHECK(two.Pools.usable(Pool, Now).empty());
  CHECK(two.Pools.members(Pool) == nullptr);
}
