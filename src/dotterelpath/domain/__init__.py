"""Decision logic, independent of sockets, clocks and encodings.

Two programs use this package. ``dotterelpath.daemon`` runs on entry VMs and
routes by the operators' document. It uses the modules addresses, admission,
budget, document, edits, fleet_membership, keys, ledger, outlier_detection,
pool, record_tables, records, routing and service_table.

``dotterelpath.gateway_daemon`` runs on the users' platform and routes by the
operators' configuration. It uses the modules bounds, configuration, deployment,
fleet_view, health_filter, health_reports, load_balancer, probing, registry,
request_queue, retry_window, steering and store_following.

Both programs use attempts, exchange, hashing and vms.
"""
