#include "command/language.h"

#include <cctype>

#include <boost/spirit/home/x3.hpp>

namespace godwitfall {

namespace {

namespace x3 = boost::spirit::x3;

/** What the parser has gathered of the command that it is reading. */
struct Draft
{
    Command command;
    SubmitChange *submit = nullptr;
    ConfigChange *config = nullptr;
    CancelChange *cancel = nullptr;
    ListQuery *list = nullptr;
    Change *change = nullptr;
    std::string first;
};

struct DraftTag;
struct ErrorTag;

struct ParseFailure
{
    std::size_t column = 0;
    std::string expected;
};

Draft &draft(const auto &context)
{
    return x3::get<DraftTag>(context).get();
}

template <class Kind>
Kind &begin(const auto &context)
{
    auto change = std::make_shared<Kind>();
    Kind &reference = *change;
    draft(context).change = change.get();
    draft(context).command = std::shared_ptr<Change>(std::move(change));
    return reference;
}

const auto wordCharacter = x3::char_("a-zA-Z0-9_.:/#@-");
const auto word = x3::rule<struct Word, std::string>("a name") = x3::lexeme[+wordCharacter];
const auto quoted = x3::rule<struct Quoted, std::string>("a quoted text") =
    x3::lexeme['"' >> *(~x3::char_("\"")) >> '"'];
const auto value = x3::rule<struct Value, std::string>("a value") = quoted | word;
const auto number = x3::rule<struct Number, std::uint32_t>("a whole number") =
    x3::lexeme[x3::uint32 >> !wordCharacter];
const auto wide = x3::rule<struct Wide, std::uint64_t>("a whole number") =
    x3::lexeme[x3::uint64 >> !wordCharacter];
const auto integer = x3::rule<struct Integer, std::int32_t>("a whole number") =
    x3::lexeme[x3::int32 >> !wordCharacter];

auto keyword(const char *text)
{
    return x3::lexeme[x3::lit(text) >> !wordCharacter];
}

/** Gives the parser the name by which an error tells what was expected. */
template <class Parser>
auto named(const char *name, const Parser &parser)
{
    return x3::rule<struct Named>(name) = parser;
}

auto expect(const char *text)
{
    return named(text, keyword(text));
}

wire::TaskSpec &spec(const auto &context)
{
    return *draft(context).submit->submit.mutable_spec();
}

const auto startSubmit = [](auto &context) {
    SubmitChange &change = begin<SubmitChange>(context);
    draft(context).submit = &change;
    change.submit.mutable_spec()->set_task(x3::_attr(context));
};
const auto setTeam = [](auto &context) {
    spec(context).set_team(x3::_attr(context));
};
const auto setZone = [](auto &context) {
    spec(context).set_zone(x3::_attr(context));
};
const auto setPayload = [](auto &context) {
    spec(context).set_payload(x3::_attr(context));
};
const auto setMilliCores = [](auto &context) {
    spec(context).mutable_size()->set_milli_cores(x3::_attr(context));
};
const auto setMemory = [](auto &context) {
    spec(context).mutable_size()->set_memory_mb(x3::_attr(context));
};
const auto setAccelerators = [](auto &context) {
    spec(context).mutable_size()->set_accelerators(x3::_attr(context));
};
const auto setPriority = [](auto &context) {
    spec(context).set_priority(x3::_attr(context));
};
const auto setRun = [](auto &context) {
    spec(context).set_run_ms(x3::_attr(context));
};
const auto setOnce = [](auto &context) {
    spec(context).set_at_most_once(true);
};
const auto setStay = [](auto &context) {
    spec(context).set_on_silence(wire::STAY);
};
const auto setYield = [](auto &context) {
    spec(context).set_on_silence(wire::YIELD);
};

struct KindSymbols : x3::symbols<wire::TaskKind>
{
    KindSymbols()
    {
        this->add("batch", wire::BATCH)("watch", wire::WATCH)("latency-critical",
                                                              wire::LATENCY_CRITICAL);
    }
} const kinds;
const auto setKind = [](auto &context) {
    spec(context).set_kind(x3::_attr(context));
};

struct TableSymbols : x3::symbols<std::string>
{
    TableSymbols()
    {
        for (const char *table :
             {"workers", "tasks", "services", "zones", "instances", "config", "audit"}) {
            this->add(table, std::string(table));
        }
    }
} const tables;

const auto submitOption =
    (keyword("team") > named("a name", word[setTeam])) |
    (keyword("kind") > named("batch, watch or latency-critical", kinds[setKind])) |
    (keyword("milli_cores") > named("a whole number", number[setMilliCores])) |
    (keyword("memory_mb") > named("a whole number", number[setMemory])) |
    (keyword("accelerators") > named("a whole number", number[setAccelerators])) |
    (keyword("priority") > named("a whole number", integer[setPriority])) |
    (keyword("run_ms") > named("a whole number", wide[setRun])) | keyword("once")[setOnce] |
    keyword("stay")[setStay] | keyword("yield")[setYield] |
    (keyword("zone") > named("a name", word[setZone])) |
    (keyword("payload") > named("a quoted text", quoted[setPayload]));
const auto submit = keyword("submit") > expect("task") > named("a name", word[startSubmit]) >
                    *submitOption;

const auto startCancel = [](auto &context) {
    CancelChange &change = begin<CancelChange>(context);
    draft(context).cancel = &change;
    change.cancel.add_tasks(x3::_attr(context));
};
const auto addCancel = [](auto &context) {
    draft(context).cancel->cancel.add_tasks(x3::_attr(context));
};
const auto cancel = keyword("cancel") > expect("task") > named("a name", word[startCancel]) >
                    *(x3::lit(',') > named("a name", word[addCancel]));

template <bool value>
const auto startHold = [](auto &context) {
    HoldChange &change = begin<HoldChange>(context);
    change.hold.set_task(x3::_attr(context));
    change.hold.set_hold(value);
};
const auto stop = keyword("stop") > expect("task") > named("a name", word[startHold<true>]);
const auto resume = keyword("resume") > expect("task") > named("a name", word[startHold<false>]);

const auto startEvict = [](auto &context) {
    EvictChange &change = begin<EvictChange>(context);
    change.evict.mutable_key()->set_task(x3::_attr(context));
    change.evict.set_reason("an operator's command");
};
const auto evict = keyword("evict") > expect("task") > named("a name", word[startEvict]);

const auto keepFirst = [](auto &context) {
    draft(context).first = x3::_attr(context);
};
const auto placeOn = [](auto &context) {
    PlaceChange &change = begin<PlaceChange>(context);
    change.place.set_task(draft(context).first);
    change.place.set_worker(x3::_attr(context));
};
const auto placeAnywhere = [](auto &context) {
    begin<PlaceChange>(context).place.set_task(draft(context).first);
};
const auto placeTarget = x3::rule<struct PlaceTarget>("'on worker NAME' or 'anywhere'") =
    (keyword("on") > expect("worker") > named("a name", word[placeOn])) |
    keyword("anywhere")[placeAnywhere];
const auto place = keyword("place") > expect("task") >
                   named("a name", word[keepFirst]) > placeTarget;

const auto throttleTo = [](auto &context) {
    ThrottleChange &change = begin<ThrottleChange>(context);
    change.throttle.set_task(draft(context).first);
    change.throttle.set_percent(x3::_attr(context));
};
const auto throttle = keyword("throttle") > expect("task") > named("a name", word[keepFirst]) >
                      expect("to") > named("a whole number", number[throttleTo]) >
                      expect("percent");

template <bool value>
const auto startDrain = [](auto &context) {
    DrainChange &change = begin<DrainChange>(context);
    change.drain.set_worker(x3::_attr(context));
    change.drain.set_drain(value);
};
const auto drain = keyword("drain") > expect("worker") > named("a name", word[startDrain<true>]);
const auto undrain = keyword("undrain") > expect("worker") >
                     named("a name", word[startDrain<false>]);

const auto priorityTo = [](auto &context) {
    PriorityChange &change = begin<PriorityChange>(context);
    change.prioritise.set_task(draft(context).first);
    change.prioritise.set_priority(x3::_attr(context));
};
const auto priority = keyword("priority") > expect("of") > expect("task") >
                      named("a name", word[keepFirst]) > expect("to") >
                      named("a whole number", integer[priorityTo]);
const auto configKey = [](auto &context) {
    if (draft(context).config == nullptr) {
        draft(context).config = &begin<ConfigChange>(context);
    }
    draft(context).config->config.add_entries()->set_key(x3::_attr(context));
};
const auto configValue = [](auto &context) {
    auto &entries = *draft(context).config->config.mutable_entries();
    entries.rbegin()->set_value(x3::_attr(context));
};
const auto configEntry = word[configKey] > named("'='", x3::lit('=')) >
                         named("a name", word[configValue]);
const auto set = keyword("set") > named("a key of the configuration or 'priority of task'",
                                        priority | (configEntry > *(x3::lit(',') > configEntry)));

const auto ifVersion = [](auto &context) {
    draft(context).change->basedOn = x3::_attr(context);
};
const auto condition =
    -(keyword("if") > expect("version") > named("a whole number", wide[ifVersion]));

const auto startList = [](auto &context) {
    ListQuery query;
    query.table = x3::_attr(context);
    draft(context).command = query;
    draft(context).list = &std::get<ListQuery>(draft(context).command);
};
const auto filterColumn = [](auto &context) {
    draft(context).list->filters.push_back({x3::_attr(context), {}});
};
const auto filterValue = [](auto &context) {
    draft(context).list->filters.back().value = x3::_attr(context);
};
const auto setLimit = [](auto &context) {
    draft(context).list->limit = x3::_attr(context);
};
const auto filter = word[filterColumn] > named("'='", x3::lit('=')) >
                    named("a value", value[filterValue]);
const auto list = keyword("list") >
                  named("workers, tasks, services, zones, instances, config or audit",
                        tables[startList]) >
                  -(keyword("where") > filter > *(keyword("and") > filter)) >
                  -(keyword("limit") > named("a whole number", wide[setLimit]));

const auto startWhy = [](auto &context) {
    draft(context).command = WhyQuery{x3::_attr(context)};
};
const auto why = keyword("why") > expect("task") > named("a name", word[startWhy]);
const auto startStatus = [](auto &context) {
    draft(context).command = StatusQuery{x3::_attr(context)};
};
const auto status = keyword("status") > named("a name", word[startStatus]);

struct CommandRule
{
    template <class Iterator, class Failure, class Context>
    // NOLINTNEXTLINE(readability-identifier-naming): the name that Spirit calls.
    x3::error_handler_result on_error(Iterator &first, const Iterator &last, const Failure &failure,
                                      const Context &context)
    {
        auto &error = x3::get<ErrorTag>(context).get();
        error.expected = failure.which();
        Iterator where = failure.where();
        while (where != last && std::isspace(static_cast<unsigned char>(*where)) != 0) {
            ++where;
        }
        error.column = static_cast<std::size_t>(where - first) + 1;
        return x3::error_handler_result::fail;
    }
};

const auto anyChange = x3::rule<struct AnyChange>("a change") =
    submit | cancel | stop | resume | evict | place | throttle | drain | undrain | set;
const auto command = x3::rule<CommandRule>("a command") = x3::eps > named("a command",
                                                                          (anyChange > condition) |
                                                                              list | why | status) >
                                                          named("end of the command", x3::eoi);

} // namespace

Result<Command> parseCommand(std::string_view text)
{
    Draft result;
    ParseFailure failure;
    auto position = text.begin();
    const auto parser =
        x3::with<DraftTag>(std::ref(result))[x3::with<ErrorTag>(std::ref(failure))[command]];
    if (x3::phrase_parse(position, text.end(), parser, x3::space)) {
        return result.command;
    }
    if (failure.column == 0) {
        failure.column = static_cast<std::size_t>(position - text.begin()) + 1;
        failure.expected = "a command";
    }
    return tl::unexpected(
        Error{Fate::Invalid, "read command", "operator",
              "column " + std::to_string(failure.column) + ": expected " + failure.expected});
}

} // namespace godwitfall
