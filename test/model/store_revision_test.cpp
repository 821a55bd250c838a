/**
 * @file store_revision_test.cpp
 * Order and encoding of revisions over several eras of the store.
 */
#include "model/store_revision_type.h"

#include <gtest/gtest.h>

namespace monsooncroft::model {
namespace {

TEST(StoreRevision, TheEraComesBeforeTheNumber)
{
  const store_revision older{ 1'000, 1 };
  const store_revision newer{ 1, 2 };
  EXPECT_LT(older, newer);
  EXPECT_LT(store_revision(1, 1), older);
  EXPECT_LT(store_revision(), store_revision(1));
  EXPECT_EQ(ToText(newer), "2:1");
}

TEST(StoreRevision, ThePackedNumberHasTheSameOrder)
{
  const store_revision older{ 1'000, 1 };
  const store_revision newer{ 1, 2 };
  EXPECT_LT(older.Pack(), newer.Pack());
  EXPECT_EQ(store_revision::Unpack(newer.Pack()), newer);
  // Without an era, it is the number that earlier versions send.
  EXPECT_EQ(store_revision(1'000).Pack(), 1'000U);
}

} // namespace
} // namespace monsooncroft::model
