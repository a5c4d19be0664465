#ifndef COMMON_JSON_H_
#define COMMON_JSON_H_

#include <string>
#include <utility>

// IWYU pragma: begin_exports
#include <nlohmann/json.hpp>
// IWYU pragma: end_exports

// Compiled once, in json.cc: the library's templates are a large part of the
// code of each file that reads or writes JSON.
extern template class nlohmann::basic_json<>;
extern template class nlohmann::detail::serializer<nlohmann::json>;
extern template class nlohmann::detail::parser<
    nlohmann::json,
    decltype(nlohmann::detail::input_adapter(
        std::declval<const std::string&>()))>;
extern template class nlohmann::detail::parser<
    nlohmann::json,
    decltype(nlohmann::detail::input_adapter(std::declval<const char*>(),
                                             std::declval<const char*>()))>;
extern template class nlohmann::detail::lexer<
    nlohmann::json,
    decltype(nlohmann::detail::input_adapter(
        std::declval<const std::string&>()))>;
extern template class nlohmann::detail::lexer<
    nlohmann::json,
    decltype(nlohmann::detail::input_adapter(std::declval<const char*>(),
                                             std::declval<const char*>()))>;
extern template class nlohmann::detail::binary_reader<
    nlohmann::json,
    decltype(nlohmann::detail::input_adapter(std::declval<const char*>(),
                                             std::declval<const char*>()))>;

#endif  // COMMON_JSON_H_
