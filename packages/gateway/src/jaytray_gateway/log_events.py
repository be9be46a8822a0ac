"""The events that the gateway logs and their fields.

A test compares this table with the logging calls. Every line also has the field `vm`.
Names of durations end in `_s` or `_ms`. API keys and bodies are never logged.
"""

from collections.abc import Sequence

EVENTS: dict[str, Sequence[str]] = {
    # One line per request, and one per attempt that did not give its final response.
    "request_finished": (
        "request_id outcome status route account version replica tokens rate_state "
        "target relayed_by relayed_for software_version original_request_id "
        "last_event_id sends runs sent_ms copy_age_ms first_piece_ms limit_ms "
        "total_ms error"
    ).split(),
    "request_try_ended": (
        "request_id target relayed_by outcome software_version original_request_id "
        "last_event_id sends runs first_piece_ms chunks silent_ms digest prompt_parts "
        "detail"
    ).split(),
    # A request that is not sent, as its caller has left.
    "caller_left_before_send": "request_id relayed_for sends runs waited_ms".split(),
    "unused_body_not_read": ("detail",),
    # An error in the code that handles a request; `exc_info` becomes the traceback.
    "request_error": "request_id error exc_info".split(),
    # A response that was cut off, as a sign that its request crashes targets.
    "request_break": "digest target incarnation breaks is_counted".split(),
    "request_quarantined": ("digest",),
    # Crashes of targets and the prompt parts that are blamed for them.
    "target_crash_counted": "target suspects parts is_explained blamed".split(),
    "target_crash_refuted": "target incarnation".split(),
    "prompt_part_quarantined": ("part",),
    "prompt_part_released": ("part",),
    "item_recorded": "kind item is_written".split(),
    "item_not_recorded": ("error",),
    "item_record_unreadable": "record error".split(),
    # Targets as seen by this process.
    "target_known": (
        "target service software_version incarnation is_leaving revision"
    ).split(),
    "target_unreadable": "target error".split(),
    "target_entry_outdated": "target incarnation heartbeat_count".split(),
    "target_lapsed": ("target",),
    "target_gone": "target lapsed".split(),
    "target_says_it_leaves": ("target",),
    "target_departures_heard": "peer targets".split(),
    "target_failing": "target streak avoid_s detail".split(),
    "target_healthy": ("target",),
    # Whether this VM reaches the targets of a service by itself.
    "targets_unreachable": "service tried silent_s".split(),
    "targets_reachable": "service away_s".split(),
    # A request of another member that was not taken, mostly as its key is outdated.
    "relay_refused": "path is_key_known".split(),
    "check_not_connected": "target error".split(),
    "target_recovering": "target incarnation cause".split(),
    "target_recovered": "target incarnation".split(),
    "target_cold": "target incarnation left_s source".split(),
    "target_brittle_changed": "target incarnation max_rejections_per_s".split(),
    "target_backs_off": "target retry_after_s".split(),
    "target_limit_changed": "target incarnation rate_per_s".split(),
    "limit_member_silent": "peer target".split(),
    "hub_silent": ("peer",),
    "notice_failed": "topic peer error".split(),
    "target_report_failed": "target error".split(),
    "software_versions_changed": "service present recent".split(),
    # Streams that a caller continues with another request.
    "stream_origin_looked_up": (
        "request_id source service software_version replies copy_age_s"
    ).split(),
    "stream_replies_missing": ("replies",),
    # Failure domains that the operator evacuates.
    "evacuation_seen": "failure_domain is_known_domain in_force_in_s".split(),
    "evacuation_in_force": ("failure_domain",),
    "evacuation_ended": ("failure_domain",),
    # The route table and the key-value service.
    "route_table_in_force": "version revision routes accounts".split(),
    "route_table_fetched": "function versions bytes call_ms copy_age_ms".split(),
    "route_table_older": ("version",),
    "route_table_unreadable": ("error",),
    "route_table_behind": "version heard_version".split(),
    "route_table_caught_up": "version heard_version".split(),
    "route_table_wait_ended": "version heard_version".split(),
    # Errors in the code that applies one change; the others are applied. `exc_info` is
    # written as the traceback.
    "record_not_applied": "record error exc_info".split(),
    "change_not_handled": "error exc_info".split(),
    "store_lost": ("error",),
    "store_regained": ("away_s",),
    "store_restored": ("restores",),
    "store_watch_ended": ("error",),
    # Calls to the key-value service in the last ten seconds, and at the end.
    "store_calls": "calls by_purpose".split(),
    "directory_not_updated": ("error",),
    "directory_hub_skipped": "peer reason".split(),
    "table_not_answered": "peer revision".split(),
    "table_not_decompressed": ("error",),
    # Bytes sent to other members in the last ten seconds.
    "peer_traffic": "bytes most_bytes_per_s by_topic".split(),
    # Members.
    "member_recorded": "is_written lease".split(),
    "member_unreadable": "member error".split(),
    "member_lease_not_renewed": ("error",),
    "member_lease_not_ended": ("error",),
    "members_changed": "members departed".split(),
    # Placement.
    "placement_taken": ("fencing_number",),
    "placement_lost": ("reason",),
    "fencing_base_written": "base is_written".split(),
    "fencing_base_not_written": ("error",),
    "fencing_base_unreadable": ("error",),
    "placement_record_unreadable": ("error",),
    "placement_lease_call_failed": ("error",),
    "loads_forecast": ("ready_in_s",),
    "placement_step": "target operation model makes_room_for".split(),
    "placement_task_failed": ("error",),
    "order_given": (
        "target operation replica expected_order_count fencing_number outcome detail"
    ).split(),
    # The process.
    "gateway_started": ("members",),
    "gateway_stopped": ("after_signal_ms",),
    "process_paused": ("paused_ms",),
    "settings_reread": ("changed",),
    "settings_unusable": ("error",),
    "drain_started": ("running",),
    "drain_finished": "running after_signal_ms".split(),
}
