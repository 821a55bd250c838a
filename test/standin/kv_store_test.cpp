/**
 * @file kv_store_test.cpp
 * Revisions, leases and the history of the key-value table.
 */
#include "standin/call_rates.h"
#include "standin/kv_store.h"

#include <gtest/gtest.h>

namespace monsooncroft::standin {
namespace {

using std::chrono::milliseconds;

constexpr model::instant kStart{ std::chrono::hours(1) };

TEST(kv_store, cas_takes_only_the_revision_that_is_there)
{
  kv_store store;
  EXPECT_EQ(store.Cas("k", 0, "a", ""), (kv_write{ true, 1 }));
  EXPECT_EQ(store.Cas("k", 0, "b", ""), (kv_write{ false, 1 }));
  EXPECT_EQ(store.Cas("k", 1, "c", ""), (kv_write{ true, 2 }));
  EXPECT_EQ(store.Get("k"), (kv_value{ 2, "c" }));
}

TEST(kv_store, revisions_grow_over_a_deletion)
{
  kv_store store;
  store.Cas("k", 0, "a", "");
  EXPECT_EQ(store.Delete("k", 2), (kv_write{ false, 1 }));
  EXPECT_EQ(store.Delete("k", 1), (kv_write{ true, 0 }));
  EXPECT_EQ(store.Get("k"), kv_value{});
  EXPECT_EQ(store.Cas("k", 0, "b", ""), (kv_write{ true, 3 }));
}

TEST(kv_store, a_lease_that_ends_takes_its_keys_along)
{
  kv_store store;
  const std::string lease = store.Grant(milliseconds(100), kStart);
  EXPECT_TRUE(store.Cas("k", 0, "a", lease).mOk);
  EXPECT_TRUE(store.KeepAlive(lease, kStart + milliseconds(90)));
  EXPECT_TRUE(store.Expire(kStart + milliseconds(150)).empty());
  EXPECT_EQ(store.Expire(kStart + milliseconds(190)),
            std::vector<std::string>{ "k" });
  EXPECT_EQ(store.Get("k"), kv_value{});
  EXPECT_FALSE(store.KeepAlive(lease, kStart + milliseconds(190)));
  EXPECT_FALSE(store.Cas("k", 0, "a", lease).mOk);
}

TEST(kv_store, a_key_written_without_the_lease_outlives_it)
{
  kv_store store;
  const std::string lease = store.Grant(milliseconds(100), kStart);
  store.Cas("k", 0, "a", lease);
  store.Cas("k", 1, "b", "");
  EXPECT_TRUE(store.Expire(kStart + milliseconds(100)).empty());
  EXPECT_EQ(store.Get("k"), (kv_value{ 2, "b" }));
}

TEST(kv_store, looks_back_over_changes)
{
  kv_store store;
  store.Cas("k", 0, "a", "");
  store.Cas("k", 1, "b", "");
  EXPECT_EQ(store.Get("k", 1), (kv_value{ 1, "a" }));
  EXPECT_EQ(store.Get("k", 2), kv_value{});
}

TEST(call_rates, admits_the_rate_and_no_more)
{
  call_rates rates;
  int admitted = 0;
  for (int call = 0; call < 30; ++call) {
    admitted += rates.Admit(kStart, 10) ? 1 : 0;
  }
  EXPECT_EQ(admitted, 10);
  EXPECT_EQ(rates.Refused(), 20U);
  EXPECT_TRUE(rates.Admit(kStart + milliseconds(100), 10));
  EXPECT_FALSE(rates.Admit(kStart + milliseconds(100), 10));
}

} // namespace
} // namespace monsooncroft::standin
