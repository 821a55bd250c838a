/**
 * @file drain_rumour.cpp
 * Drain marks as entries of the rumour table.
 */
#include "entry/drain_rumour_func.h"

#include "entry/clock_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace monsooncroft::entry {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kMarkLifetime{ 30000 };
constexpr const char* kListed = "list";
constexpr const char* kLifted = "live";
constexpr const char* kReply = "reply";
constexpr const char* kRefused = "refused";

const char*
SignalWord(const told_mark& aTold)
{
  if (aTold.mListed) {
    return aTold.mLifted ? kLifted : kListed;
  }
  return aTold.mMark.mSignal == policy::drain_signal::Reply ? kReply : kRefused;
}

} // namespace

cluster::gossip_update
WriteDrainRumour(const told_mark& aTold, model::wall_instant aWall)
{
  const std::string signal = SignalWord(aTold);
  const auto seen =
    aWall -
    std::chrono::duration_cast<std::chrono::milliseconds>(aTold.mMark.mAge);
  const bool byList = aTold.mListed;
  cluster::gossip_update out;
  out.mKey.mKind = cluster::gossip_kind::DrainMark;
  out.mKey.mName =
    aTold.mMark.mLeaf.Value() + "/" + (byList ? kListed : signal);
  out.mVersion = static_cast<std::uint64_t>(seen.time_since_epoch().count());
  out.mPayload = json{
    { "leaf", aTold.mMark.mLeaf.Value() },
    { "signal", signal },
    { "boot", aTold.mMark.mBoot.Value() }
  }.dump();
  out.mExpires = aWall + kMarkLifetime;
  return out;
}

std::optional<told_mark>
ReadDrainRumour(const cluster::gossip_update& aRumour)
{
  if (aRumour.mKey.mKind != cluster::gossip_kind::DrainMark) {
    return std::nullopt;
  }
  const json payload = json::parse(aRumour.mPayload, nullptr, false);
  const bool valid = payload.is_object() &&
                     payload.value("leaf", json()).is_string() &&
                     payload.value("signal", json()).is_string() &&
                     payload.value("boot", json()).is_string();
  if (!valid) {
    return std::nullopt;
  }
  const std::string signal = payload["signal"];
  told_mark told;
  told.mMark.mLeaf = model::leaf_id(payload["leaf"].get<std::string>());
  told.mMark.mBoot = policy::boot_id(payload["boot"].get<std::string>());
  told.mListed = signal == kListed || signal == kLifted;
  told.mLifted = signal == kLifted;
  told.mMark.mSignal = signal == kRefused ? policy::drain_signal::Refused
                                          : policy::drain_signal::Reply;
  const model::wall_instant seen{ std::chrono::milliseconds(
    static_cast<long>(aRumour.mVersion)) };
  told.mMark.mAge =
    std::max<model::duration>(WallNow() - seen, model::duration(0));
  return told;
}

} // namespace monsooncroft::entry
