#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/timepoint.h"

//! Metrics of a process, shown as Prometheus text on one page.
namespace nutmegplank::process::metrics {

//! One name and value that tells series of a metric apart.
struct Label
{
    std::string name;
    std::string value;
};
using Labels = std::vector<Label>;

//! A number that only grows.
class Counter
{
public:
    auto add(std::uint64_t amount = 1) -> void
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }
    auto value() const -> std::uint64_t { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

//! A number that goes up and down.
class Gauge
{
public:
    auto set(double value) -> void { m_value.store(value, std::memory_order_relaxed); }
    auto value() const -> double { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0 };
};

//! A distribution over logarithmic buckets, kept by Boost.Histogram; safe for many threads.
class Distribution
{
public:
    Distribution();
    ~Distribution();
    //! Counts one duration; kept in seconds.
    auto record(base::Duration duration) -> void;
    //! Counts one plain value, for instance a staleness in versions.
    auto record(double value) -> void;
    //! Prometheus lines of this distribution.
    auto render(std::string_view name, std::string_view labels, std::string &output) const -> void;

private:
    struct Buckets;
    std::unique_ptr<Buckets> m_buckets;
};

//! All metrics of one process. The returned objects live as long as the registry; look them up once
//! and keep the reference on the path of a request.
class Registry
{
public:
    Registry();
    ~Registry();
    auto counter(std::string_view name, std::string_view help, const Labels &labels = {})
        -> Counter &;
    auto gauge(std::string_view name, std::string_view help, const Labels &labels = {}) -> Gauge &;
    auto distribution(std::string_view name, std::string_view help, const Labels &labels = {})
        -> Distribution &;
    //! The whole page in Prometheus text format 0.0.4.
    auto render() const -> std::string;

private:
    struct Family;
    struct Store;
    std::unique_ptr<Store> m_store;
};

} // namespace nutmegplank::process::metrics
