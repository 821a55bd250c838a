/**
 * @file load_plan.cpp
 * A plan from JSON.
 */
#include "bench/load/load_plan.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace monsooncroft::bench {

namespace {

using nlohmann::json;

constexpr int kDefaultTimeoutMs = 5000;

model::duration
Milliseconds(const json& aObject, const char* aName, int aDefault)
{
  return std::chrono::milliseconds(aObject.value(aName, aDefault));
}

load_flow
ParseFlow(const json& aObject)
{
  load_flow flow;
  flow.mName = aObject.at("name");
  flow.mServices = aObject.at("services").get<std::vector<std::string>>();
  flow.mKind = aObject.at("kind");
  flow.mTenant = aObject.at("tenant");
  flow.mRatePerSecond = aObject.at("rate_per_s");
  flow.mBody = aObject.value("body", json::object()).dump();
  flow.mStart = Milliseconds(aObject, "start_ms", 0);
  flow.mDeadline = Milliseconds(aObject, "deadline_ms", 0);
  if (flow.mServices.empty() || flow.mRatePerSecond <= 0) {
    throw std::runtime_error("flow " + flow.mName + ": no services or rate");
  }
  return flow;
}

} // namespace

load_plan
ParsePlan(const std::string& aText)
{
  const json object = json::parse(aText);
  load_plan plan;
  plan.mSeed = object.at("seed");
  plan.mLength = Milliseconds(object, "length_ms", 0);
  plan.mWarmUp = Milliseconds(object, "warm_up_ms", 0);
  plan.mTimeout = Milliseconds(object, "timeout_ms", kDefaultTimeoutMs);
  plan.mIoThreads = object.value("io_threads", plan.mIoThreads);
  for (const json& target : object.at("targets")) {
    const auto parsed = model::endpoint::Parse(target.get<std::string>());
    if (!parsed) {
      throw std::runtime_error("not an endpoint: " + target.dump());
    }
    plan.mTargets.push_back(*parsed);
  }
  for (const json& flow : object.at("flows")) {
    plan.mFlows.push_back(ParseFlow(flow));
  }
  if (plan.mTargets.empty()) {
    throw std::runtime_error("no targets");
  }
  return plan;
}

} // namespace monsooncroft::bench
