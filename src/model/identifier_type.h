/**
 * @file identifier_type.h
 * Strong identifier types: an identifier of one kind does not convert to
 * another kind.
 */
#ifndef MONSOONCROFT_MODEL_IDENTIFIER_TYPE_H
#define MONSOONCROFT_MODEL_IDENTIFIER_TYPE_H

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace monsooncroft::model {

/** An identifier that only compares with identifiers of the same @p Tag. */
template<class Tag>
class identifier
{
public:
  identifier() = default;
  explicit identifier(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  const std::string& Value() const { return mValue; }
  bool Empty() const { return mValue.empty(); }

  bool operator==(const identifier&) const = default;
  std::strong_ordering operator<=>(const identifier&) const = default;

private:
  std::string mValue; ///< Text of the identifier.
};

template<class Tag>
std::ostream&
operator<<(std::ostream& aStream, const identifier<Tag>& aIdentifier)
{
  return aStream << aIdentifier.Value();
}

using service_id = identifier<struct service_tag>; ///< Name of a service.
using shard_id =
  identifier<struct shard_tag>; ///< Name of a shard, unique in its service.
using leaf_id =
  identifier<struct leaf_tag>; ///< Name of a leaf, that is, a backend server
                               ///< serving shards; unique in a manifest.
using kind_id = identifier<struct kind_tag>; ///< Name of a request kind, unique
                                             ///< in its service.
using workspace_id = identifier<struct workspace_tag>; ///< Name of a workspace.
using request_id =
  identifier<struct request_tag>; ///< Id that a caller gave to a request.
using attempt_id =
  identifier<struct attempt_tag>; ///< Id of one attempt at one shard of a
                                  ///< request at one leaf.
using instance_id =
  identifier<struct instance_tag>; ///< Name of an entry instance.
using data_centre_id =
  identifier<struct data_centre_tag>; ///< Name of a data centre.
using coverage_name =
  identifier<struct coverage_tag>; ///< Name of a partner or quarter that a
                                   ///< shard covers.

} // namespace monsooncroft::model

template<class Tag>
struct std::hash<monsooncroft::model::identifier<Tag>>
{
  std::size_t operator()(
    const monsooncroft::model::identifier<Tag>& aIdentifier) const noexcept
  {
    return std::hash<std::string>()(aIdentifier.Value());
  }
};

#endif
