#include "process/Log.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace cassiahollow {

void startLog(const std::string& level, const std::string& instance)
{
    namespace log = boost::log;
    namespace expr = boost::log::expressions;
    log::trivial::severity_level least = log::trivial::info;
    log::trivial::from_string(level.c_str(), level.size(), least);
    log::add_common_attributes();
    log::core::get()->add_global_attribute("Instance", log::attributes::constant<std::string>(instance));
    log::add_console_log(std::cerr, log::keywords::auto_flush = true,
        log::keywords::format = expr::stream
            << expr::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f") << " level="
            << log::trivial::severity << " instance=" << expr::attr<std::string>("Instance") << " " << expr::smessage);
    log::core::get()->set_filter(log::trivial::severity >= least);
}

void logInfo(const std::string& text)
{
    BOOST_LOG_TRIVIAL(info) << text;
}

void logWarning(const std::string& text)
{
    BOOST_LOG_TRIVIAL(warning) << text;
}

void logError(const std::string& text)
{
    BOOST_LOG_TRIVIAL(error) << text;
}

} // namespace cassiahollow
