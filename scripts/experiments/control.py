config = slopes = None
