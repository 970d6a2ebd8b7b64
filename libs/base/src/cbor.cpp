#include <guavaramp/base/cbor.hpp>

#include <cstdint>
#include <string>

namespace guavaramp {
namespace {

using nlohmann::json;

/// Accepts a CBOR item unless its arrays and maps are nested deeper than `max_cbor_depth`. Its functions are
/// called by the parser, which recurses once for each level.
class depth_check {
public:
    static bool null() { return true; }
    static bool boolean(bool) { return true; }
    static bool number_integer(json::number_integer_t) { return true; }
    static bool number_unsigned(json::number_unsigned_t) { return true; }
    static bool number_float(json::number_float_t, const std::string&) { return true; }
    static bool string(std::string&) { return true; }
    static bool binary(json::binary_t&) { return true; }
    static bool key(std::string&) { return true; }
    bool start_object(std::size_t) { return ++depth_ <= max_cbor_depth; }
    bool start_array(std::size_t) { return ++depth_ <= max_cbor_depth; }
    bool end_object() { return leave(); }
    bool end_array() { return leave(); }
    static bool parse_error(std::size_t, const std::string&, const json::exception&) { return false; }

private:
    bool leave() {
        --depth_;
        return true;
    }

    std::size_t depth_{0};
};

}  // namespace

nlohmann::json parse_cbor(std::span<const std::byte> bytes) {
    const auto* first = reinterpret_cast<const std::uint8_t*>(bytes.data());
    const auto* last = first + bytes.size();
    try {
        depth_check check;
        if (!json::sax_parse(first, last, &check, json::input_format_t::cbor)) {
            return json(json::value_t::discarded);
        }
        return json::from_cbor(first, last, true, false);
    } catch (const json::exception&) {
        // Although exceptions are switched off, the library throws for an array or a map whose announced size
        // exceeds the maximum size of its container.
        return json(json::value_t::discarded);
    }
}

}  // namespace guavaramp
