/**
 * @file deployment.h
 * A whole small deployment of real processes on loopback.
 */
#ifndef MONSOONCROFT_TEST_PROCESS_DEPLOYMENT_H
#define MONSOONCROFT_TEST_PROCESS_DEPLOYMENT_H

#include "support/http_probe.h"
#include "support/process.h"
#include "support/temporary_file.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace monsooncroft::process_test {

/** Shape of a deployment. */
struct deployment_options
{
  int mPortBase = 0;     ///< It uses the 100 ports from here on.
  int mInstances = 3;    ///< Entry instances, spread over three data centres.
  int mOwners = 1;       ///< ownership.replicas.
  int mReplicas = 2;     ///< Leaves that hold each shard.
  double mServiceMs = 2; ///< Median service time of a leaf.
  nlohmann::json mSettings = nlohmann::json::object(); ///< More settings.
  std::string mOutput; ///< File for the instances' logs; empty: the test's own.
};

/**
 * One service "routes" with shards s0 to s2, each covering quarters q0a and
 * q0b (and so on), held by leaves of different data centres; kinds "find"
 * (urgent), "browse" and "book" (not idempotent, results are counts).
 */
class deployment
{
public:
  explicit deployment(deployment_options aOptions);

  void Start(); ///< Starts everything and puts the manifest in force.
  void StartEntry(int aIndex);
  void ApplyManifest(const nlohmann::json& aManifest);
  nlohmann::json Manifest() const; ///< The first manifest.

  /** A fresh query; the id is unique in the process if not given. */
  static nlohmann::json Query(const std::string& aKind,
                              const std::string& aId = {});

  /** Sends a query to an instance on a connection of its own. */
  test_support::probe_reply Ask(
    int aEntry,
    const nlohmann::json& aQuery,
    std::chrono::milliseconds aTimeout = std::chrono::seconds(5));
  nlohmann::json Status(int aEntry);
  void Leaf(const nlohmann::json& aControl);   ///< POST /control/leaf.
  void Fault(const nlohmann::json& aFault);    ///< POST /control/fault.
  void List(const nlohmann::json& aInstances); ///< POST /control/instances.
  nlohmann::json Instances() const;            ///< The first instance list.
  nlohmann::json Executions(
    const std::string& aRequest); ///< Truth of the leaves.
  nlohmann::json LeafStats(const std::string& aLeaf);

  bool WaitReady(int aEntry);
  /** Waits until a condition holds; false if it does not within 20 s. */
  static bool Eventually(const std::function<bool()>& aCondition);

  test_support::process& Entry(int aIndex) { return *mEntries.at(aIndex); }
  test_support::process& Platform() { return *mPlatform; }
  std::string EntryId(int aIndex) const;
  model::endpoint Caller(int aIndex) const;
  static std::string LeafName(int aIndex);
  int Entries() const { return mOptions.mInstances; }
  void StartPlatform();

private:
  std::string Address(int aOffset) const;
  model::endpoint Endpoint(int aOffset) const;
  nlohmann::json Leaves() const;
  nlohmann::json Shards() const;
  nlohmann::json BackendConfig() const;
  void StartBackend();

  deployment_options mOptions;
  std::vector<std::unique_ptr<test_support::temporary_file>> mFiles;
  std::unique_ptr<test_support::process> mPlatform;
  std::unique_ptr<test_support::process> mBackend;
  std::vector<std::unique_ptr<test_support::process>> mEntries;
  std::vector<int> mLives; ///< How often each instance was replaced.
};

} // namespace monsooncroft::process_test

#endif
