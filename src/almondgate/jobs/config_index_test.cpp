#include "almondgate/jobs/config_index.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace almondgate;
using namespace almondgate::jobs;

namespace {

QueueSpec queueOf(int n, const std::string &host, const std::string &prefix) {
  QueueSpec out;
  out.Id = core::QueueId("q" + std::to_string(n));
  out.Host = host;
  out.PathPrefix = prefix;
  return out;
}

} // namespace

TEST_CASE("the index returns the same results as a linear search") {
  std::mt19937_64 rng(7);
  FleetConfig config;
  int n = 0;
  for (const char *host : {"a", "b"})
    for (const char *prefix : {"/", "/x/", "/x/y/", "/x/yy/", "/z"})
      config.Queues.push_back(queueOf(n++, host, prefix));
  config.Queues.push_back(queueOf(n++, "c", "/only/"));
  config.Teams = {{core::TeamId("t"), {"k1", "k2"}, 1, {}},
                  {core::TeamId("u"), {"k3"}, 1, {}}};
  const ConfigIndex index(config);
  const char *parts[] = {"/", "x", "y", "yy", "z", "only", "job"};
  for (int i = 0; i < 3000; ++i) {
    const std::string host(1, char('a' + rng() % 4));
    std::string path = "/";
    for (size_t j = rng() % 6; j > 0; --j)
      path += parts[rng() % 7];
    CAPTURE(path);
    CHECK(index.queueAt(host, path) == queueAt(config, host, path));
  }
  for (const char *key : {"k1", "k2", "k3", "k4", ""})
    CHECK(index.teamOfKey(key) == teamOfKey(config, key));
  for (int i = 0; i < n + 2; ++i) {
    const core::QueueId id("q" + std::to_string(i));
    CHECK(index.queue(id) == findQueue(config, id));
  }
  CHECK(index.team(core::TeamId("u")) == findTeam(config, core::TeamId("u")));
  CHECK(index.team(core::TeamId("v")) == nullptr);
}
