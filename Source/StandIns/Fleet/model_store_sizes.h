#ifndef STANDINS_FLEET_MODEL_STORE_SIZES_H_
#define STANDINS_FLEET_MODEL_STORE_SIZES_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "Platform/transactional_store.h"

namespace figflow::model {

inline constexpr size_t kMaxKeyBytes = 200;

// On the wire values are text, and each item has some fields beside them.
inline constexpr size_t kItemOverhead = 100;

inline size_t AnswerBytes(const std::vector<StoreItem>& items) {
  size_t bytes = 0;
  for (const StoreItem& item : items) {
    bytes += item.key.size() + item.value.size() * 4 / 3 + kItemOverhead;
  }
  return bytes;
}

template <typename T>
size_t AnswerBytes(const T& /*answer*/) {
  return kItemOverhead;
}

template <>
inline size_t AnswerBytes(const RangePage& page) {
  return AnswerBytes(page.items);
}

template <>
inline size_t AnswerBytes(const std::optional<StoreItem>& item) {
  return item ? AnswerBytes(std::vector<StoreItem>{*item}) : kItemOverhead;
}

// Returns whether the store takes the transaction.
inline bool IsWithinLimits(const Transaction& transaction,
                           size_t max_value_bytes) {
  const size_t entries = transaction.expected.size() +
                         transaction.writes.size() +
                         transaction.removals.size();
  return entries <= kMaxTransactionEntries &&
         std::all_of(transaction.writes.begin(), transaction.writes.end(),
                     [&](const StoreWrite& write) {
                       return write.key.size() <= kMaxKeyBytes &&
                              write.value.size() <= max_value_bytes;
                     });
}

}  // namespace figflow::model

#endif  // STANDINS_FLEET_MODEL_STORE_SIZES_H_
