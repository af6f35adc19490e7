#include "almondgate/jobs/config_revision.hpp"
#include "almondgate/jobs/ledger.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace almondgate;
using namespace almondgate::jobs;

namespace {

QueueSpec queue(const std::string &id, const std::string &pool) {
  QueueSpec out;
  out.Id = core::QueueId(id);
  out.PathPrefix = "/" + id + "/";
  out.Pool = core::PoolId(pool);
  return out;
}

FleetConfig config(uint64_t version, std::vector<QueueSpec> queues) {
  FleetConfig out;
  out.Version = version;
  out.Queues = std::move(queues);
  out.Pools = {{core::PoolId("p" + std::to_string(version))}};
  out.Source = "version " + std::to_string(version);
  return out;
}

FleetConfig sorted(FleetConfig config) {
  std::sort(config.Queues.begin(), config.Queues.end(),
            [](const auto &a, const auto &b) { return a.Id < b.Id; });
  return config;
}

} // namespace

TEST_CASE(
    "a revision holds the difference and produces the next configuration") {
  const auto base =
      config(3, {queue("a", "p"), queue("b", "p"), queue("c", "p")});
  const auto next =
      config(7, {queue("c", "q"), queue("a", "p"), queue("d", "p")});
  const auto revision = diffConfigs(base, next).value();
  CHECK(revision.QueuesPut == std::vector{queue("c", "q"), queue("d", "p")});
  CHECK(revision.QueuesGone == std::vector{core::QueueId("b")});
  FleetConfig revised = base;
  applyRevision(revised, revision);
  CHECK(sorted(revised) == sorted(next));
}

TEST_CASE("no revision is computed when queues have the same id") {
  const auto base = config(3, {queue("a", "p")});
  CHECK(!diffConfigs(base, config(4, {queue("a", "p"), queue("a", "q")})));
  CHECK(!diffConfigs(config(4, {queue("a", "p"), queue("a", "q")}), base));
}

TEST_CASE("a revision with another base version is ignored") {
  const auto base = config(3, {queue("a", "p")});
  const auto revision = diffConfigs(base, config(4, {queue("b", "p")})).value();
  Ledger ledger;
  ledger.Config = config(5, {queue("a", "p")});
  const auto before = ledger;
  apply(ledger, ConfigRevised{revision});
  CHECK(ledger == before);
}
