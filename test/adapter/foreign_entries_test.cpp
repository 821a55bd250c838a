/**
 * @file foreign_entries_test.cpp
 * Reads of the leaves among entries of other writers.
 */
#include "gateway/event_loop_base.h"
#include "gateway/loop_timer_base.h"
#include "ops/bounded_sink_base.h"
#include "ops/log_base.h"
#include "standin_store.h"
#include "store_client.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <set>

namespace monsooncroft::adapter {
namespace {

using std::chrono::milliseconds;

/** A page that ended with another writer's key, such as one with a space, was
 * followed by a malformed call: a starting instance never read the leaves. */
TEST(ForeignEntries, KeysOfAnyBytesEndPagesWithoutHidingLeaves)
{
  const auto sink = std::make_shared<ops::bounded_sink>(
    ::open("/dev/null", O_WRONLY), 1U << 20U);
  const ops::log log("test", ops::log_level::Info, sink);
  gateway::event_loop loop;
  standin_store store(loop, log);
  store.SetPageItems(1);
  std::set<std::string> expected;
  for (const char* foreign : { "batch job 07",
                               "50%",
                               "a%20b",
                               "a&prefix=x",
                               "a+b",
                               "a#b?c=d",
                               "gr\xc3\xb6\xc3\x9f"
                               "e",
                               "\"quoted\"" }) {
    store.Put(std::string("servers/") + foreign, "{}");
    const std::string id = std::string(foreign).substr(0, 1) + "~leaf";
    store.Put("servers/" + id,
              R"({"service":"s","address":"10.1.0.1:80","zone":"z","slots":2,)"
              R"("born":1700000000000,"state":"ready"})");
    expected.insert(id);
  }
  store_client client(loop, store.Address(), log);
  std::optional<gateway::store_result<serving::directory_snapshot>> result;
  client.ReadDirectory(false, [&](auto aResult) { result = aResult; });
  for (int round = 0; round < 200 && !result; ++round) {
    gateway::loop_timer timer(loop, [&] { loop.Stop(); });
    timer.Start(milliseconds(10));
    loop.Run();
  }
  ASSERT_TRUE(result);
  const auto* snapshot = std::get_if<serving::directory_snapshot>(&*result);
  ASSERT_NE(snapshot, nullptr);
  std::set<std::string> ids;
  for (const auto& leaf : snapshot->mLeaves) {
    ids.insert(leaf.mId);
  }
  EXPECT_EQ(ids, expected);
}

} // namespace
} // namespace monsooncroft::adapter
