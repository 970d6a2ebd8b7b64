#pragma once

#include <readerwriterqueue/readerwritercircularbuffer.h>

#include <cstddef>
#include <utility>

namespace guavaramp {

/// A bounded ring buffer that passes items from exactly one producer thread to exactly one consumer thread.
template <typename T>
class spsc_ring {
public:
    /// Precondition: `capacity` > 0.
    explicit spsc_ring(std::size_t capacity) : buffer_(capacity) {}

    /// Appends `item` and returns true, or drops it and returns false if the ring is full. Producer thread
    /// only.
    [[nodiscard]] bool push(T item) { return buffer_.try_enqueue(std::move(item)); }

    /// Moves the oldest item to `item` and returns true, or returns false if the ring is empty. Consumer
    /// thread only.
    [[nodiscard]] bool pop(T& item) { return buffer_.try_dequeue(item); }

private:
    moodycamel::BlockingReaderWriterCircularBuffer<T> buffer_;
};

}  // namespace guavaramp
