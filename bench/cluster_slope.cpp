/**
 * @file cluster_slope.cpp
 * Control traffic, processor time and memory of an instance at several sizes
 * of the cluster, in virtual time on one thread.
 */
#include "cluster/fake_network.h"
#include "cluster/message_codec_func.h"

#include <array>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <unistd.h>

using namespace monsooncroft;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 17;
constexpr auto kWarmUp = 30s;
constexpr auto kMeasured = 60s;
constexpr double kBytesPerKilobyte = 1024;

/** One row of the table. */
struct scenario
{
  int mDataCentres;
  int mEach;
  int mGhostDataCentres;    ///< Further data centres that are only listed.
  double mEventsPerSecond;  ///< Claims about members elsewhere.
  double mChangesPerSecond; ///< Manifests, each with two changed chunks.
  std::size_t mChunkBytes;
};

double
CpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  constexpr double kNanoseconds = 1e9;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNanoseconds;
}

double
ResidentKilobytes()
{
  std::ifstream file("/proc/self/statm");
  long size = 0;
  long resident = 0;
  file >> size >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerKilobyte;
}

void
AddGhosts(test::fake_network& aNetwork, const scenario& aScenario)
{
  std::uint16_t port = 30'000;
  for (int place = 0; place < aScenario.mGhostDataCentres; ++place) {
    const model::data_centre_id dataCentre("far" + std::to_string(place));
    for (int number = 0; number < aScenario.mEach; ++number) {
      const model::instance_id id(dataCentre.Value() + "-" +
                                  std::to_string(number));
      aNetwork.mStaleListEntries.push_back(
        { id, dataCentre, { "10.0.0.2", port++ }, false });
    }
  }
}

/** News of one member elsewhere reaches one instance, as over a bridge. */
void
InjectClaim(test::fake_network& aNetwork, std::uint64_t aNumber)
{
  const auto& listed = aNetwork.mStaleListEntries.at(
    (aNumber * 37) % aNetwork.mStaleListEntries.size());
  cluster::message news;
  news.mSender = { listed.mId,
                   listed.mDataCentre,
                   listed.mPeer,
                   aNumber + 1,
                   cluster::member_state::Alive };
  auto target = aNetwork.mInstances.begin();
  std::advance(target, (aNumber * 13) % aNetwork.mInstances.size());
  const auto effects = target->second.mCore->OnDatagram(
    cluster::EncodeMessage(news), listed.mPeer, aNetwork.Now());
  aNetwork.Execute(target->second, effects);
}

/** Lets the time pass with the scenario's events. */
void
Drive(test::fake_network& aNetwork,
      const scenario& aScenario,
      std::chrono::milliseconds aTime)
{
  constexpr auto kStep = 250ms;
  constexpr double kStepSeconds = 0.25;
  static std::uint64_t sClaims = 0;
  static model::manifest_version sVersion = 1;
  double claims = 0;
  double changes = 0;
  for (auto passed = 0ms; passed < aTime; passed += kStep) {
    claims += aScenario.mEventsPerSecond * kStepSeconds;
    changes += aScenario.mChangesPerSecond * kStepSeconds;
    for (; claims >= 1; claims -= 1) {
      InjectClaim(aNetwork, ++sClaims);
    }
    for (; changes >= 1; changes -= 1) {
      aNetwork.mPlatform.Apply(++sVersion);
    }
    aNetwork.Run(kStep);
  }
}

void
Measure(const scenario& aScenario)
{
  const auto memory = ResidentKilobytes();
  test::fake_network network(kSeed);
  network.mPlatform.mPadding.assign(aScenario.mChunkBytes, 'x');
  network.mPlatform.Apply(1);
  AddGhosts(network, aScenario);
  network.AddMany(aScenario.mDataCentres, aScenario.mEach);
  Drive(network, aScenario, kWarmUp);
  for (auto& [id, instance] : network.mInstances) {
    instance.mSentMessages = 0;
    instance.mSentBytes = 0;
  }
  const auto cpu = CpuSeconds();
  Drive(network, aScenario, kMeasured);
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t longest = 0;
  for (const auto& [id, instance] : network.mInstances) {
    messages += instance.mSentMessages;
    bytes += instance.mSentBytes;
    longest = std::max(longest, instance.mLongestDatagram);
  }
  const auto nodes = static_cast<double>(network.mInstances.size());
  const double nodeSeconds =
    nodes * static_cast<double>(std::chrono::seconds(kMeasured).count());
  constexpr double kPercent = 100;
  std::printf("%5.0f %4d %5d %6.2f %7.2f %6zu %9.2f %9.0f %8lu %8.3f %8.0f\n",
              nodes,
              aScenario.mDataCentres,
              static_cast<int>(network.mStaleListEntries.size()),
              aScenario.mEventsPerSecond,
              aScenario.mChangesPerSecond,
              aScenario.mChunkBytes,
              static_cast<double>(messages) / nodeSeconds,
              static_cast<double>(bytes) / nodeSeconds,
              static_cast<unsigned long>(longest),
              (CpuSeconds() - cpu) / nodeSeconds * kPercent,
              (ResidentKilobytes() - memory) / nodes);
  std::fflush(stdout);
}

} // namespace

int
main()
{
  std::printf("nodes  dcs ghosts evts/s changes/s chunkB msgs/node/s B/node/s "
              "longestB cpu%%/node KB/node\n");
  constexpr std::array kScenarios{
    scenario{ 3, 3, 0, 0, 0, 0 },
    scenario{ 3, 10, 0, 0, 0, 0 },
    scenario{ 4, 25, 0, 0, 0, 0 },
    scenario{ 1, 164, 0, 0, 0, 0 },
    scenario{ 28, 9, 0, 0, 0, 0 },
    scenario{ 1, 164, 27, 0, 0, 0 },
    scenario{ 1, 164, 27, 1, 0, 0 },
    scenario{ 1, 164, 27, 2, 0, 0 },
    scenario{ 1, 164, 27, 4, 0, 0 },
    scenario{ 1, 164, 27, 1, 0.25, 0 },
    scenario{ 1, 164, 27, 1, 0.25, 20'000 },
  };
  for (const auto& each : kScenarios) {
    Measure(each);
  }
  return 0;
}
