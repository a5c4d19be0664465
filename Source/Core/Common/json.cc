#include "Common/json.h"

template class nlohmann::basic_json<>;
template class nlohmann::detail::serializer<nlohmann::json>;
template class nlohmann::detail::parser<
    nlohmann::json,
    decltype(nlohmann::detail::input_adapter(
        std::declval<const std::string&>()))>;
template class nlohmann::detail::parser<
    nlohmann::json,
    decltype(nlohmann::detail::input_adapter(std::declval<const char*>(),
                                             std::declval<const char*>()))>;
template class nlohmann::detail::lexer<
    nlohmann::json,
    decltype(nlohmann::detail::input_adapter(
        std::declval<const std::string&>()))>;
template class nlohmann::detail::lexer<nlohmann::json,
                                       decltype(nlohmann::detail::input_adapter(
                                           std::declval<const char*>(),
                                           std::declval<const char*>()))>;
template class nlohmann::detail::binary_reader<
    nlohmann::json,
    decltype(nlohmann::detail::input_adapter(std::declval<const char*>(),
                                             std::declval<const char*>()))>;
