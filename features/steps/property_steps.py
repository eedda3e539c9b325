from behave import then
from support.broken_engine_properties import BROKEN_ENGINE_PROPERTIES
from support.budget_properties import BUDGET_PROPERTIES
from support.buffer_properties import BUFFER_PROPERTIES
from support.call_queue_properties import CALL_QUEUE_PROPERTIES
from support.connection_properties import CONNECTION_PROPERTIES
from support.deep_answer_properties import DEEP_ANSWER_PROPERTIES
from support.entry_properties import ENTRY_PROPERTIES
from support.event_loop_properties import EVENT_LOOP_PROPERTIES
from support.fleet_properties import FLEET_PROPERTIES
from support.fuzz_properties import FUZZ_PROPERTIES
from support.gossip_properties import GOSSIP_PROPERTIES
from support.latency_properties import LATENCY_PROPERTIES
from support.leader_term_properties import LEADER_TERM_PROPERTIES
from support.life_properties import LIFE_PROPERTIES
from support.limit_properties import LIMIT_PROPERTIES
from support.link_properties import LINK_PROPERTIES
from support.list_confirmation_properties import LIST_CONFIRMATION_PROPERTIES
from support.lost_caller_properties import LOST_CALLER_PROPERTIES
from support.memory_properties import MEMORY_PROPERTIES
from support.notice_properties import NOTICE_PROPERTIES
from support.odd_entry_properties import ODD_ENTRY_PROPERTIES
from support.placement_cost_properties import PLACEMENT_COST_PROPERTIES
from support.poison_part_properties import POISON_PART_PROPERTIES
from support.poison_properties import POISON_PROPERTIES
from support.port_properties import PORT_PROPERTIES
from support.properties import PROPERTIES
from support.reservation_properties import RESERVATION_PROPERTIES
from support.restored_properties import RESTORED_PROPERTIES
from support.resume_properties import RESUME_PROPERTIES
from support.role_properties import ROLE_PROPERTIES
from support.router_properties import ROUTER_PROPERTIES
from support.simulation_properties import SIMULATION_PROPERTIES
from support.stop_admission_properties import STOP_ADMISSION_PROPERTIES
from support.store_answer_properties import STORE_ANSWER_PROPERTIES
from support.stream_properties import STREAM_PROPERTIES
from support.suspension_properties import SUSPENSION_PROPERTIES
from support.unanswered_properties import UNANSWERED_PROPERTIES
from support.upkeep_properties import UPKEEP_PROPERTIES
from support.version_properties import VERSION_PROPERTIES
from support.watch_properties import WATCH_PROPERTIES

ALL_PROPERTIES = PROPERTIES | ROUTER_PROPERTIES | STREAM_PROPERTIES | UPKEEP_PROPERTIES
ALL_PROPERTIES |= BUDGET_PROPERTIES | FLEET_PROPERTIES | PLACEMENT_COST_PROPERTIES
ALL_PROPERTIES |= WATCH_PROPERTIES | GOSSIP_PROPERTIES | BROKEN_ENGINE_PROPERTIES
ALL_PROPERTIES |= (
    ROLE_PROPERTIES | CONNECTION_PROPERTIES | POISON_PROPERTIES | POISON_PART_PROPERTIES
)
ALL_PROPERTIES |= ENTRY_PROPERTIES | LIFE_PROPERTIES | FUZZ_PROPERTIES
ALL_PROPERTIES |= NOTICE_PROPERTIES | LIMIT_PROPERTIES | SUSPENSION_PROPERTIES
ALL_PROPERTIES |= CALL_QUEUE_PROPERTIES | RESUME_PROPERTIES | RESTORED_PROPERTIES
ALL_PROPERTIES |= RESERVATION_PROPERTIES | SIMULATION_PROPERTIES | PORT_PROPERTIES
ALL_PROPERTIES |= LIST_CONFIRMATION_PROPERTIES
ALL_PROPERTIES |= UNANSWERED_PROPERTIES | VERSION_PROPERTIES | STOP_ADMISSION_PROPERTIES
ALL_PROPERTIES |= LINK_PROPERTIES | BUFFER_PROPERTIES | LOST_CALLER_PROPERTIES
ALL_PROPERTIES |= DEEP_ANSWER_PROPERTIES | ODD_ENTRY_PROPERTIES | STORE_ANSWER_PROPERTIES
ALL_PROPERTIES |= MEMORY_PROPERTIES
ALL_PROPERTIES |= EVENT_LOOP_PROPERTIES | LEADER_TERM_PROPERTIES | LATENCY_PROPERTIES


@then("this holds for generated cases: {name}")
def holds(context, name):
    ALL_PROPERTIES[name]()
