/**
 * @file ownership_build.cpp
 * Time to work out who owns what, whole and after one membership event.
 */
#include "cluster/ownership_base.h"

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace monsooncroft;

namespace {

constexpr int kDataCentres = 28;
constexpr int kMembersEach = 164;
constexpr int kServices = 185;
constexpr int kShards = 130;
constexpr std::size_t kOwners = 2;

model::data_centre_id
Place(int aNumber)
{
  return model::data_centre_id("dc" + std::to_string(aNumber));
}

/** A service of one data centre, two replicas a shard. */
model::service
ServiceOf(int aNumber)
{
  model::service made;
  made.mId = model::service_id("service" + std::to_string(aNumber));
  for (int shard = 0; shard < kShards; ++shard) {
    model::shard part;
    part.mId = model::shard_id(std::to_string(shard));
    for (const std::string replica : { "a", "b" }) {
      model::leaf leaf;
      leaf.mId = model::leaf_id(made.mId.Value() + "/" + std::to_string(shard) +
                                replica);
      leaf.mDataCentre = Place(aNumber % kDataCentres);
      part.mReplicas.push_back(leaf.mId);
      made.mLeaves.push_back(leaf);
    }
    made.mShards.push_back(part);
  }
  return made;
}

cluster::member_list_ptr
MembersOf(const model::data_centre_id& aPlace, int aCount)
{
  cluster::member_list members;
  members.reserve(static_cast<std::size_t>(aCount));
  for (int number = 0; number < aCount; ++number) {
    cluster::member made;
    made.mId =
      model::instance_id(aPlace.Value() + "-" + std::to_string(number));
    made.mDataCentre = aPlace;
    members.push_back(made);
  }
  return std::make_shared<const cluster::member_list>(members);
}

template<class Work>
void
Time(const char* aName, Work aWork)
{
  const auto start = std::chrono::steady_clock::now();
  aWork();
  const std::chrono::duration<double, std::milli> took =
    std::chrono::steady_clock::now() - start;
  std::printf("%-28s %8.2f ms\n", aName, took.count());
}

} // namespace

int
main()
{
  std::vector<model::service> services;
  services.reserve(kServices);
  for (int number = 0; number < kServices; ++number) {
    services.push_back(ServiceOf(number));
  }
  const auto manifest = std::make_shared<const model::manifest>(
    1, std::vector<model::workspace>{}, services);
  cluster::member_view::lists lists;
  for (int number = 0; number < kDataCentres; ++number) {
    lists[Place(number)] = MembersOf(Place(number), kMembersEach);
  }
  const auto before = std::make_shared<const cluster::member_view>(1, lists);
  lists[Place(0)] = MembersOf(Place(0), kMembersEach - 1);
  const auto after = std::make_shared<const cluster::member_view>(2, lists);
  std::printf("%d leaves\n", kServices * kShards * 2);
  cluster::ownership_ptr whole;
  Time("whole table", [&] {
    whole = cluster::ownership::Build(manifest, before, kOwners, nullptr);
  });
  Time("after one event",
       [&] { cluster::ownership::Build(manifest, after, kOwners, whole); });
  return 0;
}
