/**
 * @file store_revision_type.h
 * Revision of the store.
 */
#ifndef MONSOONCROFT_MODEL_STORE_REVISION_TYPE_H
#define MONSOONCROFT_MODEL_STORE_REVISION_TYPE_H

#include <compare>
#include <cstdint>
#include <string>

namespace monsooncroft::model {

/**
 * Point in the history of the store. A store that is restored from a copy
 * begins a new era: it gives out revisions again that it had used before, so
 * they can only be compared within an era, and every one of a later era is
 * newer.
 */
class store_revision
{
public:
  /** Before the first change. */
  constexpr store_revision() = default;
  /**
   * Converts implicitly: most stores have one era only.
   * @param aEra 0 for a store that does not tell its era.
   */
  constexpr store_revision(std::uint64_t aNumber, std::uint64_t aEra = 0)
    : mEra(aEra)
    , mNumber(aNumber)
  {
  }

  constexpr std::uint64_t Era() const { return mEra; }
  /** What the store itself calls the revision. */
  constexpr std::uint64_t Number() const { return mNumber; }

  /** One number that compares like the revision, also for instances of earlier
   * versions, which know no eras. */
  constexpr std::uint64_t Pack() const
  {
    return mEra << kNumberBits | (mNumber & kNumberMask);
  }
  static constexpr store_revision Unpack(std::uint64_t aPacked)
  {
    return { aPacked & kNumberMask, aPacked >> kNumberBits };
  }

  constexpr auto operator<=>(const store_revision&) const = default;

private:
  static constexpr unsigned kNumberBits = 48;
  static constexpr std::uint64_t kNumberMask =
    (std::uint64_t{ 1 } << kNumberBits) - 1;

  std::uint64_t mEra = 0; ///< Compared first.
  std::uint64_t mNumber = 0;
};

/** For logs: the era and the number. */
inline std::string
ToText(store_revision aRevision)
{
  return std::to_string(aRevision.Era()) + ":" +
         std::to_string(aRevision.Number());
}

} // namespace monsooncroft::model

#endif
