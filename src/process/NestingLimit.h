#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cassiahollow {

/// Levels of a document or message that is accepted. Ours have eight at most; the decoder of MessagePack recurses once
/// for each level.
inline constexpr std::size_t maximumNesting = 64;

namespace detail {

    /// Reads a document without keeping it, and stops at a level that is too deep.
    struct NestingCheck : nlohmann::json_sax<nlohmann::json> {
        std::size_t depth_ { 0 };
        bool isTooDeep_ { false };

        bool begin()
        {
            isTooDeep_ = ++depth_ > maximumNesting;
            return !isTooDeep_;
        }
        bool end()
        {
            --depth_;
            return true;
        }

        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; }
        bool number_unsigned(number_unsigned_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool start_object(std::size_t) override { return begin(); }
        bool key(string_t&) override { return true; }
        bool end_object() override { return end(); }
        bool start_array(std::size_t) override { return begin(); }
        bool end_array() override { return end(); }
        bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override { return false; }
    };

} // namespace detail

/// Throws std::invalid_argument if the bytes are nested deeper than maximumNesting. Says nothing about bytes that
/// cannot be read.
inline void checkNesting(std::string_view bytes, nlohmann::json::input_format_t format)
{
    detail::NestingCheck check;
    nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &check, format);
    if (check.isTooDeep_)
        throw std::invalid_argument("nested deeper than " + std::to_string(maximumNesting) + " levels");
}

} // namespace cassiahollow
