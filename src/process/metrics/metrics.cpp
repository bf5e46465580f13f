#include "process/metrics/metrics.h"

#include <map>
#include <mutex>

#include <boost/histogram.hpp>

#include "base/text.h"

namespace nutmegplank::process::metrics {

namespace {

namespace histogram = boost::histogram;

constexpr auto BUCKET_COUNT = 27U;
constexpr auto LOWEST_BUCKET = 0.0001;
constexpr auto HIGHEST_BUCKET = 1000.0;
constexpr auto SUM_SCALE =
    1'000'000.0; //!< The sum is kept as whole millionths, so that it is atomic.

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using ThreadSafeCount = histogram::accumulators::count<std::uint64_t, true>;
using Histogram = histogram::histogram<std::tuple<Axis>, histogram::dense_storage<ThreadSafeCount>>;

auto escapeLabel(std::string_view value) -> std::string
{
    auto text = std::string();
    for (const auto character : value) {
        if (character == '\\' || character == '"')
            text += '\\';
        if (character == '\n')
            text += "\\n";
        else
            text += character;
    }
    return text;
}

auto renderLabels(const Labels &labels) -> std::string
{
    auto text = std::string();
    for (const auto &label : labels)
        text += base::concat(text.empty() ? "" : ",", label.name, "=\"", escapeLabel(label.value),
                             "\"");
    return text;
}

auto braced(std::string_view labels) -> std::string
{
    return labels.empty() ? std::string() : base::concat("{", std::string(labels), "}");
}

} // namespace

struct Distribution::Buckets
{
    Histogram histogram { Axis(BUCKET_COUNT, LOWEST_BUCKET, HIGHEST_BUCKET) };
    std::atomic<std::uint64_t> sumMillionths { 0 };
};

Distribution::Distribution()
    : m_buckets(std::make_unique<Buckets>())
{ }

Distribution::~Distribution() = default;

auto Distribution::record(base::Duration duration) -> void
{
    record(base::toSeconds(duration));
}

auto Distribution::record(double value) -> void
{
    m_buckets->histogram(std::max(value, 0.0));
    m_buckets->sumMillionths += static_cast<std::uint64_t>(std::max(value, 0.0) * SUM_SCALE);
}

auto Distribution::render(std::string_view name, std::string_view labels, std::string &output) const
    -> void
{
    const auto &axis = m_buckets->histogram.axis();
    const auto comma = labels.empty() ? "" : ",";
    auto total = std::uint64_t(0);
    for (auto index = -1; index <= axis.size(); ++index) {
        total += m_buckets->histogram.at(index).value();
        const auto limit =
            index == axis.size() ? std::string("+Inf") : base::concat(axis.value(index + 1));
        output +=
            base::concat(name, "_bucket{", labels, comma, "le=\"", limit, "\"} ", total, "\n");
    }
    output += base::concat(name, "_sum", braced(labels), " ",
                           static_cast<double>(m_buckets->sumMillionths) / SUM_SCALE, "\n");
    output += base::concat(name, "_count", braced(labels), " ", total, "\n");
}

struct Registry::Family
{
    std::string help;
    std::map<std::string, std::unique_ptr<Counter>> counters;
    std::map<std::string, std::unique_ptr<Gauge>> gauges;
    std::map<std::string, std::unique_ptr<Distribution>> distributions;
};

struct Registry::Store
{
    mutable std::mutex mutex;
    std::map<std::string, Family, std::less<>> families;

    template <typename Metric>
    auto find(std::string_view name, std::string_view help, const Labels &labels,
              std::map<std::string, std::unique_ptr<Metric>> Family::*series) -> Metric &
    {
        const auto lock = std::lock_guard(mutex);
        auto &family = families[std::string(name)];
        family.help = help;
        auto &metric = (family.*series)[renderLabels(labels)];
        if (metric == nullptr)
            metric = std::make_unique<Metric>();
        return *metric;
    }
};

Registry::Registry()
    : m_store(std::make_unique<Store>())
{ }

Registry::~Registry() = default;

auto Registry::counter(std::string_view name, std::string_view help, const Labels &labels)
    -> Counter &
{
    return m_store->find(name, help, labels, &Family::counters);
}

auto Registry::gauge(std::string_view name, std::string_view help, const Labels &labels) -> Gauge &
{
    return m_store->find(name, help, labels, &Family::gauges);
}

auto Registry::distribution(std::string_view name, std::string_view help, const Labels &labels)
    -> Distribution &
{
    return m_store->find(name, help, labels, &Family::distributions);
}

auto Registry::render() const -> std::string
{
    const auto lock = std::lock_guard(m_store->mutex);
    auto page = std::string();
    for (const auto &[name, family] : m_store->families) {
        const auto type = !family.counters.empty() ? "counter"
            : !family.gauges.empty()               ? "gauge"
                                                   : "histogram";
        page += base::concat("# HELP ", name, " ", family.help, "\n# TYPE ", name, " ", type, "\n");
        for (const auto &[labels, counter] : family.counters)
            page += base::concat(name, braced(labels), " ", counter->value(), "\n");
        for (const auto &[labels, gauge] : family.gauges)
            page += base::concat(name, braced(labels), " ", gauge->value(), "\n");
        for (const auto &[labels, distribution] : family.distributions)
            distribution->render(name, labels, page);
    }
    return page;
}

} // namespace nutmegplank::process::metrics
