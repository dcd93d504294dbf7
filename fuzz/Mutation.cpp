#include "Decoders.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace cassiahollow::fuzz {

namespace {

    // Bounds the time of one input; no seed is near it.
    constexpr std::size_t maximumInput = 1 << 16;

    /// A number below `limit`, or 0. Not std::uniform_int_distribution, whose values differ between libraries.
    std::size_t below(std::size_t limit, std::mt19937_64& random)
    {
        return limit == 0 ? 0 : static_cast<std::size_t>(random() % limit);
    }

    std::string block(const std::string& bytes, std::mt19937_64& random)
    {
        const auto start = below(bytes.size(), random);
        return bytes.substr(start, 1 + below(32, random));
    }

    const std::string& extreme(std::mt19937_64& random)
    {
        using namespace std::string_literals;
        // Integers as text, as variable-length integers of protobuf, and as fixed ones; characters of JSON and YAML.
        static const std::vector<std::string> values { "0", "-1", "18446744073709551615", "18446744073709551616",
            "9223372036854775807", "9223372036854775808", "-9223372036854775808", "4294967295", "4294967296",
            "2147483648", "1e999", "-0.0", "\x00"s, "\x7f", "\xff\xff\xff\xff\x0f",
            "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01", "\x80\x80\x80\x80\x80\x80\x80\x80\x80\x01",
            "\xff\xff\xff\xff\xff\xff\xff\xff\x7f", "\xff\xff\xff\xff", "\x00\x00\x00\x80"s, "null", "true", "[]", "{}",
            "\"\"", "\n", "\r", "\r\n", ": ", "- ", "~", "&a ", "*a", "!!int ", "\\u0000", "\\ud800", "<<: " };
        return values[below(values.size(), random)];
    }

    void changeOnce(std::string& bytes, const std::vector<std::string>& seeds, std::mt19937_64& random)
    {
        const auto place = below(bytes.size() + 1, random);
        switch (below(9, random)) {
        case 0:
            if (!bytes.empty())
                bytes[below(bytes.size(), random)] ^= static_cast<char>(1U << below(8, random));
            break;
        case 1:
            if (!bytes.empty())
                bytes[below(bytes.size(), random)] = static_cast<char>(random());
            break;
        case 2:
            bytes.resize(place);
            break;
        case 3: {
            const auto& other = seeds[below(seeds.size(), random)];
            bytes = bytes.substr(0, place) + other.substr(below(other.size() + 1, random));
            break;
        }
        case 4: {
            const auto repeated = block(bytes, random);
            for (auto count = 1 + below(64, random); count > 0; --count)
                bytes.insert(place, repeated);
            break;
        }
        case 5:
            bytes.insert(place, block(seeds[below(seeds.size(), random)], random));
            break;
        case 6:
            bytes.erase(place, 1 + below(16, random));
            break;
        case 7: {
            // Replaces a run of digits, or as many bytes as the value takes.
            const auto& value = extreme(random);
            const auto digit = bytes.find_first_of("0123456789", place);
            if (digit != std::string::npos && below(2, random) == 0) {
                const auto end = bytes.find_first_not_of("0123456789", digit);
                bytes.replace(digit, end == std::string::npos ? end : end - digit, value);
            } else {
                bytes.replace(place, below(2, random) * value.size(), value);
            }
            break;
        }
        default: {
            // Deep nesting, which a recursive parser pays for with its stack. Rare, because it hides other changes.
            if (below(16, random) != 0)
                break;
            static constexpr std::array<std::string_view, 5> openings { "[", "{\"a\":", "- ", "{a: ", "\x0a\xff\x7f" };
            const auto opening = openings[below(openings.size(), random)];
            std::string nested;
            for (auto count = below(5000, random); count > 0; --count)
                nested += opening;
            bytes.insert(place, nested);
            break;
        }
        }
        if (bytes.size() > maximumInput)
            bytes.resize(maximumInput);
    }

} // namespace

std::string mutate(const std::vector<std::string>& seeds, std::mt19937_64& random)
{
    std::string bytes = seeds[below(seeds.size(), random)];
    for (auto changes = 1 + below(4, random); changes > 0; --changes)
        changeOnce(bytes, seeds, random);
    return bytes;
}

std::string hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char byte : bytes) {
        text += digits[static_cast<unsigned char>(byte) >> 4U];
        text += digits[static_cast<unsigned char>(byte) & 15U];
    }
    return text;
}

} // namespace cassiahollow::fuzz
