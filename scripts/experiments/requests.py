flood_least_urgent = flood_most_urgent = at_most_once = None
